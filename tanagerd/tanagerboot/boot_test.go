package tanagerboot

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/joomcode/errorx"

	"tanagersail.example/tanagerd/tanagersettings"
)

// An override that is 0 keeps the setting, and a negative one is refused.
func TestOverrides(t *testing.T) {
	c := qt.New(t)
	var s tanagersettings.MemberSettings
	s.Work.GangWaitMS = 2000
	s.Limits.MaxValueBytes = 1000
	c.Assert(Overrides{}.apply(&s), qt.IsNil)
	c.Assert(s.Work.GangWait(), qt.Equals, 2*time.Second)
	c.Assert(s.Limits.MaxValueBytes, qt.Equals, 1000)
	c.Assert(Overrides{
		GangWait:      3 * time.Second,
		MaxValueBytes: 5000,
	}.apply(&s), qt.IsNil)
	c.Assert(s.Work.GangWait(), qt.Equals, 3*time.Second)
	c.Assert(s.Limits.MaxValueBytes, qt.Equals, 5000)
	for _, o := range []Overrides{{GangWait: -1}, {MaxValueBytes: -1}} {
		c.Assert(errorx.IsOfType(o.apply(&s), tanagersettings.OutOfRange), qt.IsTrue)
	}
}
