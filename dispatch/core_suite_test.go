package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/dispatch"
	"hawthornshore.example/structs"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "dispatch")
}

var start = time.Unix(1_800_000_000, 0)

// bench drives one core by hand and keeps its effects.
type bench struct {
	core *dispatch.Core
	now  time.Time
	low  uint64
}

func newBench(policy dispatch.Policy) *bench {
	b := &bench{core: dispatch.New(dispatch.Options{Instance: "i1", DataCentre: "dc1", Seed: 1, Policy: policy}), now: start}
	b.step(dispatch.ConfigChanged{Config: structs.SystemConfig{
		Version: 1,
		Classes: map[string]structs.Class{
			"urgent": {Rank: 0, MaxQueue: 1000},
			"later":  {Rank: 1, MaxQueue: 1000},
		},
		Tenants: map[string]structs.Tenant{"t1": {Weight: 1}, "t2": {Weight: 1}, "small": {Weight: 1, QuotaSlots: 2}},
	}})
	b.step(dispatch.LeaseChanged{Held: true})
	return b
}

func (b *bench) step(ev dispatch.Event) []dispatch.Effect {
	b.core.Step(b.now, ev)
	return append([]dispatch.Effect(nil), b.core.Ready()...)
}

func (b *bench) after(d time.Duration, ev dispatch.Event) []dispatch.Effect {
	b.now = b.now.Add(d)
	return b.step(ev)
}

func announcement(id, incarnation string, slots int) structs.Announcement {
	return structs.Announcement{
		TargetID: id, Incarnation: incarnation, Address: "127.0.0.1:1", State: structs.TargetReady, Slots: slots,
	}
}

func (b *bench) target(id string, slots int) []dispatch.Effect {
	return b.step(dispatch.TargetAnnounced{Announcement: announcement(id, "a", slots)})
}

// job returns a job of n tasks with a deadline in 10 s.
func (b *bench) job(class string, n int) structs.Job {
	b.low++
	j := structs.Job{
		ID: structs.JobIDAt(b.now, b.low), DataCentre: "dc1", Tenant: "t1", Class: class,
		DeadlineUnixMS: b.now.Add(10 * time.Second).UnixMilli(),
	}
	for range n {
		j.Tasks = append(j.Tasks, structs.Task{DeclaredMS: 100})
	}
	return j
}

// submit admits and releases a job and returns the effects of the release.
func (b *bench) submit(j structs.Job) []dispatch.Effect {
	Expect(b.step(dispatch.AdmitJob{Job: j})).To(ContainElement(dispatch.JobAdmitted{JobID: j.ID}))
	return b.step(dispatch.ReleaseJob{JobID: j.ID})
}

func pick[T dispatch.Effect](effects []dispatch.Effect) []T {
	var out []T
	for _, e := range effects {
		if v, ok := e.(T); ok {
			out = append(out, v)
		}
	}
	return out
}

func outcomes(effects []dispatch.Effect) []structs.Outcome {
	var out []structs.Outcome
	for _, f := range pick[dispatch.JobFinished](effects) {
		out = append(out, f.Answer.Outcome)
	}
	return out
}
