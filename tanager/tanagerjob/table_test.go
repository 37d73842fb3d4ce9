package tanagerjob

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"tanagersail.example/tanager/internal/tanagerseed"
	"tanagersail.example/tanager/tanagerfailure"
	"tanagersail.example/tanager/tanagerqueue"
	"tanagersail.example/tanager/tanagerresource"
)

var now = time.Date(2026, time.March, 1, 0, 0, 0, 0, time.UTC)

func newSpec(key string, tasks int) Spec {
	return Spec{
		Key:   key,
		Kind:  Batch,
		Class: tanagerqueue.Normal,
		Tasks: tasks,
		Resources: tanagerresource.Vector{
			CPU: 1000,
		},
	}
}

// durableState formats the durable state of a table for comparison.
func durableState(t *Table, ids []string) string {
	text := ""
	for _, id := range ids {
		j := t.Job(id)
		if j == nil {
			continue
		}
		text += fmt.Sprintf("%s %s %v %d %s:", id, j.Spec.Key, j.Cancelled, j.Remaining(), j.Outcome())
		for _, task := range j.Tasks {
			text += fmt.Sprintf(" %v/%v/%s", task.State == Ended, task.AttemptLogged && task.State != Ended, task.Outcome)
		}
		text += "\n"
	}
	return text
}

// TestSnapshotMatchesReplay applies random entries to a table. A table that is
// restored from a snapshot taken at any point, with the later entries applied,
// must have the same durable state.
func TestSnapshotMatchesReplay(t *testing.T) {
	tanagerseed.Fix(t)
	rapid.Check(t, func(t *rapid.T) {
		table, restored := NewTable(), NewTable()
		var ids []string
		count := rapid.IntRange(1, 60).Draw(t, "entries")
		snapshotAt := rapid.IntRange(0, count-1).Draw(t, "snapshot")
		for i := range count {
			if i == snapshotAt {
				if err := restored.Restore(table.Snapshot(now)); err != nil {
					t.Fatal(err)
				}
			}
			e := drawEntry(t, &ids, table)
			table.Apply(e)
			if i >= snapshotAt {
				restored.Apply(e)
			}
		}
		if got, want := durableState(restored, ids), durableState(table, ids); got != want {
			t.Fatalf("restored table:\n%s\nreplayed table:\n%s", got, want)
		}
	})
}

func drawEntry(t *rapid.T, ids *[]string, table *Table) Entry {
	kind := rapid.IntRange(0, 4).Draw(t, "kind")
	if len(*ids) == 0 || kind == 0 {
		id := ID(3, 2, uint64(len(*ids)+1))
		*ids = append(*ids, id)
		return Entry{
			Accept: &AcceptEntry{
				ID:       id,
				Branch:   "red",
				Spec:     newSpec(id, rapid.IntRange(1, 4).Draw(t, "tasks")),
				Accepted: now,
			},
		}
	}
	id := rapid.SampledFrom(*ids).Draw(t, "job")
	index := rapid.IntRange(0, len(table.Job(id).Tasks)-1).Draw(t, "index")
	switch kind {
	case 1:
		return Entry{
			Cancel: &CancelEntry{
				Job: id,
			},
		}
	case 2:
		return Entry{
			Attempt: &AttemptEntry{
				Job:   id,
				Index: index,
			},
		}
	}
	return Entry{
		End: &EndEntry{
			Job:   id,
			Index: index,
			Outcome: rapid.SampledFrom([]tanagerfailure.Outcome{tanagerfailure.Done,
				tanagerfailure.Failed, tanagerfailure.Unknown, tanagerfailure.NotRun}).Draw(t, "outcome"),
			At: now,
		},
	}
}

func TestJobOutcomeIsWorstTaskOutcome(t *testing.T) {
	c := qt.New(t)
	for want, outcomes := range map[tanagerfailure.Outcome][]tanagerfailure.Outcome{
		tanagerfailure.Done:    {tanagerfailure.Done, tanagerfailure.NotRun},
		tanagerfailure.NotRun:  {tanagerfailure.NotRun, tanagerfailure.NotRun},
		tanagerfailure.Failed:  {tanagerfailure.Done, tanagerfailure.Failed},
		tanagerfailure.Unknown: {tanagerfailure.Failed, tanagerfailure.Unknown},
	} {
		table := NewTable()
		table.Apply(Entry{
			Accept: &AcceptEntry{
				ID:   "j1-1-1",
				Spec: newSpec("k", len(outcomes)),
			},
		})
		c.Check(table.Job("j1-1-1").Outcome(), qt.Equals, tanagerfailure.Outcome(""))
		for i, o := range outcomes {
			table.Apply(Entry{
				End: &EndEntry{
					Job:     "j1-1-1",
					Index:   i,
					Outcome: o,
				},
			})
		}
		c.Check(table.Job("j1-1-1").Outcome(), qt.Equals, want)
	}
}

func TestEndedJobsAreDroppedAfterRetention(t *testing.T) {
	c := qt.New(t)
	table := NewTable()
	table.Apply(Entry{
		Accept: &AcceptEntry{
			ID:     "j1-1-1",
			Branch: "red",
			Spec:   newSpec("k", 1),
		},
	})
	table.Apply(Entry{
		End: &EndEntry{
			Job:     "j1-1-1",
			Outcome: tanagerfailure.Done,
			At:      now,
		},
	})
	table.DropExpired(now.Add(time.Hour))
	c.Assert(table.ByKey("red", "k"), qt.Not(qt.IsNil))
	table.DropExpired(now.Add(time.Hour + time.Second))
	c.Assert(table.ByKey("red", "k"), qt.IsNil)
}

func TestValidate(t *testing.T) {
	c := qt.New(t)
	c.Assert(newSpec("k", 1).Validate() == nil, qt.IsTrue)
	for name, corrupt := range map[string]func(*Spec){
		"key":       func(s *Spec) { s.Key = "" },
		"kind":      func(s *Spec) { s.Kind = "cron" },
		"class":     func(s *Spec) { s.Class = 9 },
		"tasks":     func(s *Spec) { s.Tasks = MaxTasks + 1 },
		"resources": func(s *Spec) { s.Resources.CPU = -1 },
		"run_time":  func(s *Spec) { s.RunTime = -1 },
		"service":   func(s *Spec) { s.Kind = Service },
		"attempts":  func(s *Spec) { s.MaxAttempts = MaxAttempts + 1 },
		"payload":   func(s *Spec) { s.Payload = make([]byte, MaxPayloadBytes+1) },
	} {
		s := newSpec("k", 1)
		corrupt(&s)
		failure := s.Validate()
		c.Check(failure, qt.Not(qt.IsNil), qt.Commentf(name))
		if name != "service" {
			c.Check(failure.Message, qt.Contains, name)
		}
	}
}
