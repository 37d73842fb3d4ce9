package tanagercell

import (
	"context"
	"time"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// Store is the key-value store that holds all durable state.
type Store interface {
	Get(ctx context.Context, key string) (tanagerport.Item, error)
	List(ctx context.Context, prefix, after string) (tanagerport.Page, error)
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (tanagerport.Page, error)
	Commit(ctx context.Context, t tanagerport.Transaction) (int64, []tanagerport.Item, error)
	Grant(ctx context.Context, ttl time.Duration) (int64, error)
	Renew(ctx context.Context, lease int64) error
	Revoke(ctx context.Context, lease int64) error
}

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, to tanagerport.WorkerRef, s tanagerport.Start) (tanagerport.Response, error)
	Stop(ctx context.Context, to tanagerport.WorkerRef, s tanagerport.Stop) (tanagerport.Response, error)
	Throttle(ctx context.Context, to tanagerport.WorkerRef, t tanagerport.Throttle) (tanagerport.Response, error)
	Poll(ctx context.Context, to tanagerport.WorkerRef, p tanagerport.Poll) (tanagerport.Report, error)
}

// AdviceService tells which workers may run a step.
type AdviceService interface {
	Advise(ctx context.Context, step tanagerwork.StepName, workers []string,
		expected time.Duration) (tanagerport.Advice, error)
}

// Decoder decodes the items that workers and operators write to the store.
type Decoder interface {
	// WorkerPrefix and OperatorPrefix are the prefixes of their keys.
	WorkerPrefix() string
	OperatorPrefix() string
	Worker(item tanagerport.Item) (tanagerport.WorkerEntry, error)
	// Configuration returns false for a key that holds something else.
	Configuration(item tanagerport.Item) (tanagerport.Configuration, bool, error)
	// Wave returns false for a key that holds something else.
	Wave(item tanagerport.Item) (tanagerport.Wave, bool, error)
	// WaveStatus returns the key and value that report a wave's status to the
	// operator.
	WaveStatus(number int, completed bool) (key string, value []byte)
}

// Ports are the external systems that a daemon uses.
type Ports struct {
	Store   Store
	Workers Workers
	Advice  AdviceService
	Decoder Decoder
	// Machines is nil if the platform has no such interface.
	Machines Machines
}
