package tanagercell

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
)

// outageStore fails a number of watches. Later ones end without a change when
// their timeout has passed; those of watchTimeout are never answered.
type outageStore struct {
	unresponsiveStore

	failures int
	timeouts []time.Duration
}

func (s *outageStore) List(context.Context, string, string) (tanagerport.Page, error) {
	return tanagerport.Page{Revision: 1}, nil
}

func (s *outageStore) Watch(ctx context.Context, _ string, after int64, timeout time.Duration) (tanagerport.Page, error) {
	s.timeouts = append(s.timeouts, timeout)
	if s.failures > 0 {
		s.failures--
		return tanagerport.Page{}, tanagerport.Refused.New("watch")
	}
	if timeout >= watchTimeout {
		<-ctx.Done()
	}
	return tanagerport.Page{Revision: after}, nil
}

// The store's recovery is reported by a watch that does not wait for a change.
func TestRecoveryIsReportedAtOnce(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	store := &outageStore{failures: 3}
	var results []bool
	w := &watcher{
		store:    store,
		prefix:   "p/",
		timer:    tanagertimer.NewReal(),
		onChange: func(tanagerport.Page, bool) {},
		onCallFinished: func(_ time.Time, err error) {
			results = append(results, err == nil)
			if len(results) == 5 {
				cancel()
			}
		},
	}
	w.run(ctx)
	qt.Assert(t, results, qt.DeepEquals, []bool{true, false, false, false, true})
	qt.Assert(t, store.timeouts, qt.DeepEquals, []time.Duration{
		watchTimeout, recoveryWatchTimeout, recoveryWatchTimeout, recoveryWatchTimeout,
	})
}

// compactedStore has lost the history after its first listing.
type compactedStore struct {
	unresponsiveStore
	lists int
}

func (s *compactedStore) List(context.Context, string, string) (tanagerport.Page, error) {
	s.lists++
	return tanagerport.Page{Revision: int64(s.lists)}, nil
}

func (s *compactedStore) Watch(_ context.Context, _ string, after int64, _ time.Duration) (tanagerport.Page, error) {
	if after == 1 {
		return tanagerport.Page{}, tanagerport.Compacted.New("watch")
	}
	return tanagerport.Page{Revision: after}, nil
}

// Guards against taking changes for seen that a watch without a history has not
// passed on.
func TestWatchWithoutHistoryHasSeenNothing(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var seen []bool
	w := &watcher{
		store:    &compactedStore{},
		timer:    tanagertimer.NewReal(),
		prefix:   "p/",
		onChange: func(tanagerport.Page, bool) {},
		onCallFinished: func(seenUntil time.Time, _ error) {
			seen = append(seen, !seenUntil.IsZero())
			if len(seen) == 4 {
				cancel()
			}
		},
	}
	w.run(ctx)
	qt.Assert(t, seen, qt.DeepEquals, []bool{true, false, true, true})
}
