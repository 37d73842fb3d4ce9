package tanagerplace

import (
	"sort"
	"time"

	"tanagersail.example/tanager/tanagerresource"
)

// sampleSize bounds the workers that a first search looks at in each bucket.
const sampleSize = 16

// scanLimit is the number of workers up to which dense placement compares all of
// them, which packs more tightly than the index and costs little more.
const scanLimit = 128

// missLimit bounds the remembered demands that did not fit.
const missLimit = 16

// jobSpread counts a job's tasks by failure domain and rack.
type jobSpread struct {
	tasks   int
	domains map[string]int
	racks   map[string]int
}

// Choose returns the worker to place a demand on, or false if it fits nowhere
// at present. It holds nothing; call Hold.
func (f *Fleet) Choose(d Demand, now time.Time) (string, bool) {
	if f.missed(d.Resources) {
		return "", false
	}
	accept := func(row *workerRow) bool { return row.health.accepts(now) }
	row := f.search(d, sampleSize, accept)
	if row == nil {
		row = f.search(d, 0, accept)
	}
	if row == nil {
		f.miss(d.Resources)
		return "", false
	}
	return row.Name, true
}

func (f *Fleet) search(d Demand, sample int, accept func(*workerRow) bool) *workerRow {
	if d.Policy == Spread {
		return f.searchSpread(d, sample, accept)
	}
	if len(f.order) <= scanLimit {
		return best(f.order, d.Resources, 0, accept)
	}
	var chosen *workerRow
	for _, domain := range f.domains {
		row := domain.index.fullest(d.Resources, sample, accept)
		if row == nil {
			continue
		}
		if chosen == nil || row.bucket < chosen.bucket {
			chosen = row
		}
	}
	return chosen
}

// searchSpread tries the failure domains from the one with the fewest tasks of
// the job, and in each first the racks without any.
func (f *Fleet) searchSpread(d Demand, sample int, accept func(*workerRow) bool) *workerRow {
	counts := f.spread[d.Job]
	for _, domain := range f.domainsBy(counts) {
		if counts != nil {
			fresh := func(row *workerRow) bool { return counts.racks[row.Rack] == 0 && accept(row) }
			if row := domain.index.fullest(d.Resources, sample, fresh); row != nil {
				return row
			}
		}
		if row := domain.index.fullest(d.Resources, sample, accept); row != nil {
			return row
		}
	}
	return nil
}

func (f *Fleet) domainsBy(counts *jobSpread) []*domain {
	if counts == nil {
		return f.domains
	}
	ordered := append([]*domain(nil), f.domains...)
	sort.SliceStable(ordered, func(i, j int) bool {
		return counts.domains[ordered[i].name] < counts.domains[ordered[j].name]
	})
	return ordered
}

func (f *Fleet) countSpread(h *Holding, by int) {
	s := f.spread[h.Job]
	if s == nil {
		s = &jobSpread{
			domains: make(map[string]int),
			racks:   make(map[string]int),
		}
		f.spread[h.Job] = s
	}
	s.tasks += by
	s.domains[h.worker.FailureDomain] += by
	s.racks[h.worker.Rack] += by
	if s.tasks == 0 {
		delete(f.spread, h.Job)
	}
}

// missed reports whether a demand no larger than r was found to fit nowhere
// since room was last freed.
func (f *Fleet) missed(r tanagerresource.Vector) bool {
	for _, m := range f.misses {
		if m.Fits(r) {
			return true
		}
	}
	return false
}

func (f *Fleet) miss(r tanagerresource.Vector) {
	if len(f.misses) < missLimit {
		f.misses = append(f.misses, r)
	}
}

// ForgetMisses makes Choose search again for demands that fitted nowhere. Call
// it once in a while, because the end of a worker's isolation frees room too.
func (f *Fleet) ForgetMisses() { f.misses = f.misses[:0] }
