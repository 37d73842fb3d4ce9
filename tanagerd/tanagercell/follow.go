package tanagercell

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
)

// follower keeps a copy of the keys under a prefix up to date.
type follower struct {
	store  Store
	prefix string
	// pause spaces the watches.
	pause time.Duration
	// changed receives each step: items and deletions, and whether it is the
	// whole content.
	changed func(page tanagerport.Page, whole bool)
	// reached receives how each call ended.
	reached func(err error)
}

// run follows the prefix until the context ends. Lost history is made good by
// reading everything again.
func (f *follower) run(ctx context.Context) {
	revision := int64(-1)
	for ctx.Err() == nil {
		var err error
		if revision < 0 {
			revision, err = f.readAll(ctx)
		} else {
			revision, err = f.watch(ctx, revision)
		}
		f.reached(err)
		if err != nil {
			sleep(ctx, storePause)
		} else if f.pause > 0 {
			sleep(ctx, f.pause)
		}
	}
}

// readAll returns the revision from which to watch: that of the first page,
// since pages are no snapshot.
func (f *follower) readAll(ctx context.Context) (int64, error) {
	page, err := listAll(ctx, f.store, f.prefix)
	if err != nil {
		return -1, err
	}
	f.changed(page, true)
	return page.Revision, nil
}

func (f *follower) watch(ctx context.Context, revision int64) (int64, error) {
	page, err := f.store.Watch(ctx, f.prefix, revision, watchWait)
	if errorx.IsOfType(err, tanagerport.Compacted) {
		return -1, nil
	}
	if err != nil {
		return revision, err
	}
	if len(page.Items) > 0 {
		f.changed(page, false)
	}
	return max(page.Revision, revision), nil
}

// listAll reads all pages under a prefix. Its revision is that of the first.
func listAll(ctx context.Context, s Store, prefix string) (tanagerport.Page, error) {
	whole, err := s.List(ctx, prefix, "")
	if err != nil {
		return whole, err
	}
	for more := whole.More; more && len(whole.Items) > 0; {
		page, err := s.List(ctx, prefix, whole.Items[len(whole.Items)-1].Key)
		if err != nil {
			return whole, err
		}
		whole.Items = append(whole.Items, page.Items...)
		more = page.More && len(page.Items) > 0
	}
	return whole, nil
}

// sleep waits for a duration or the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
