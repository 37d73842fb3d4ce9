package tanagercell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"tanagersail.example/tanager/tanagerport"
	"tanagersail.example/tanager/tanagerwork"
)

// capacityDecoder decodes a worker's CPU, in cores, from a one-byte value.
type capacityDecoder struct{ stubDecoder }

func (d capacityDecoder) Worker(item tanagerport.Item) (tanagerport.WorkerEntry, error) {
	entry, err := d.stubDecoder.Worker(item)
	entry.Capacity = tanagerwork.Resources{MilliCPU: 1000 * int64(item.Value[0])}
	return entry, err
}

// A listing that was read before a worker's capacity shrank, and that was applied
// after the change had been seen, brought the old capacity back and removed the
// workers that had registered in between.
func TestOlderListingRestoresNoCapacity(t *testing.T) {
	entry := func(key string, revision int64, cores byte) tanagerport.Item {
		return tanagerport.Item{
			Key:      key,
			Value:    []byte{cores},
			Revision: revision,
		}
	}
	older := tanagerport.Page{
		Items:    []tanagerport.Item{entry("workers/a", 3, 8)},
		Revision: 10,
	}
	for name, apply := range map[string]func(c *control){
		"of a takeover": func(c *control) {
			storedStateLoaded{
				term:  c.term,
				state: &storedState{workers: older},
			}.apply(c)
		},
		"of a watch": func(c *control) {
			workerUpdate{
				page:     older,
				snapshot: true,
			}.apply(c)
		},
	} {
		c := newTestControl(t)
		c.ports.Decoder = capacityDecoder{}
		c.becomeScheduler(1)
		workerUpdate{page: tanagerport.Page{
			Items:    []tanagerport.Item{entry("workers/a", 11, 2), entry("workers/b", 12, 8)},
			Revision: 12,
		}}.apply(c)
		apply(c)
		qt.Check(t, c.workers["a"].Capacity.MilliCPU, qt.Equals, int64(2000), qt.Commentf("%s", name))
		qt.Check(t, c.workers, qt.HasLen, 2, qt.Commentf("%s", name))
		newer := tanagerport.Page{
			Items:    []tanagerport.Item{entry("workers/a", 13, 4)},
			Revision: 14,
		}
		workerUpdate{
			page:     newer,
			snapshot: true,
		}.apply(c)
		qt.Check(t, c.workers["a"].Capacity.MilliCPU, qt.Equals, int64(4000), qt.Commentf("%s", name))
		qt.Check(t, c.workers, qt.HasLen, 1, qt.Commentf("%s", name))
	}
}
