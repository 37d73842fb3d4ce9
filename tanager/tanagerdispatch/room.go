package tanagerdispatch

import (
	"time"

	"tanagersail.example/tanager/tanagerwork"
)

// LargeJobBytes is the size above which a job needs room at the scheduler before it
// is stored. The admission hints bound smaller ones well enough.
const LargeJobBytes = 32 << 10

// roomTimeout is how long room is kept for a job that is being stored.
const roomTimeout = 5 * time.Second

// room bounds the memory of large jobs, which a scheduler holds from their acceptance
// until some time after their end.
type room struct {
	// usedBytes is the size of the large jobs that the cell has.
	usedBytes int64
	// reserved holds the room for large jobs that are being stored.
	reserved map[tanagerwork.JobID]roomReservation
}

type roomReservation struct {
	bytes int64
	until time.Time
}

// ReserveRoom keeps room for a large job that a daemon is about to store. It returns
// false if the limit leaves none; the job must be rejected then. There is always room
// for one job, and for a job again that has it and may be stored already.
func (c *Cell) ReserveRoom(now time.Time, id tanagerwork.JobID, bytes int64) bool {
	c.room.expire(now)
	if _, reserved := c.room.reserved[id]; !reserved {
		total := c.room.totalBytes()
		if total > 0 && total+bytes > c.settings.MaxLargeJobBytes {
			c.logEvent(LogEvent{
				Name:   "job_without_room",
				Job:    id,
				Reason: "large jobs have reached their limit",
			})
			return false
		}
	}
	c.room.reserved[id] = roomReservation{
		bytes: bytes,
		until: now.Add(roomTimeout),
	}
	return true
}

// expire ends the reservations whose time is over.
func (r *room) expire(now time.Time) {
	for id, reservation := range r.reserved {
		if reservation.until.Before(now) {
			delete(r.reserved, id)
		}
	}
}

// totalBytes returns the size of the large jobs with their reservations.
func (r *room) totalBytes() int64 {
	total := r.usedBytes
	for _, reservation := range r.reserved {
		total += reservation.bytes
	}
	return total
}

// occupyRoom counts a job that was added.
func (c *Cell) occupyRoom(j *job) {
	delete(c.room.reserved, j.record.ID)
	c.room.usedBytes += largeJobSize(j)
}

// vacateRoom counts a job that was removed.
func (c *Cell) vacateRoom(j *job) { c.room.usedBytes -= largeJobSize(j) }

// largeJobSize returns the size of a large job, and 0 for others.
func largeJobSize(j *job) int64 {
	if size := j.record.Spec.Size(); size > LargeJobBytes {
		return size
	}
	return 0
}
