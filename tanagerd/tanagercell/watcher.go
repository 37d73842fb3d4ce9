package tanagercell

import (
	"context"
	"time"

	"github.com/joomcode/errorx"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagertimer"
)

// watcher reports the keys under a prefix and their changes.
type watcher struct {
	store  Store
	timer  tanagertimer.Service
	prefix string
	// watchDelay separates two watches.
	watchDelay time.Duration
	// onChange receives items and deletions; snapshot is set if the page holds
	// all keys under the prefix.
	onChange func(page tanagerport.Page, snapshot bool)
	// onCallFinished receives the error of each call, nil if the store has responded,
	// and a time: all changes before it have been passed to onChange. The time is
	// zero if the call has passed on nothing.
	onCallFinished func(seenUntil time.Time, err error)
}

// run watches the prefix until the context ends. If the store has compacted the
// history, it lists all keys again. The first watch after a failed call returns
// at once: one that waits for a change would report the store's recovery only
// when it ends.
func (w *watcher) run(ctx context.Context) {
	revision := int64(-1)
	timeout := watchTimeout
	for ctx.Err() == nil {
		var err error
		startedAt := w.timer.Now()
		if revision < 0 {
			revision, err = w.readAll(ctx)
		} else {
			revision, err = w.watch(ctx, revision, timeout)
		}
		if err != nil || revision < 0 {
			startedAt = time.Time{}
		}
		w.onCallFinished(startedAt, err)
		timeout = watchTimeout
		if err != nil {
			timeout = recoveryWatchTimeout
		}
		if err != nil {
			sleepContext(ctx, storeRetryDelay)
		} else if w.watchDelay > 0 {
			sleepContext(ctx, w.watchDelay)
		}
	}
}

// readAll lists all keys and returns the revision to watch from. It is that of
// the first page, since that page lacks any later changes.
func (w *watcher) readAll(ctx context.Context) (int64, error) {
	page, err := listAll(ctx, w.store, w.prefix)
	if err != nil {
		return -1, err
	}
	w.onChange(page, true)
	return page.Revision, nil
}

func (w *watcher) watch(ctx context.Context, revision int64, timeout time.Duration) (int64, error) {
	page, err := w.store.Watch(ctx, w.prefix, revision, timeout)
	if errorx.IsOfType(err, tanagerport.Compacted) {
		return -1, nil
	}
	if err != nil {
		return revision, err
	}
	if len(page.Items) > 0 {
		w.onChange(page, false)
	}
	return max(page.Revision, revision), nil
}

// listAll reads all pages under a prefix. The result has the revision of the
// first page.
func listAll(ctx context.Context, s Store, prefix string) (tanagerport.Page, error) {
	all, err := s.List(ctx, prefix, "")
	if err != nil {
		return all, err
	}
	for more := all.More; more && len(all.Items) > 0; {
		page, err := s.List(ctx, prefix, all.Items[len(all.Items)-1].Key)
		if err != nil {
			return all, err
		}
		all.Items = append(all.Items, page.Items...)
		more = page.More && len(page.Items) > 0
	}
	return all, nil
}

// sleepContext waits for a duration or until the context ends.
func sleepContext(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
