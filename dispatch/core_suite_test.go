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

var startTime = time.Unix(1_800_000_000, 0)

// harness drives one core with a clock that the test controls.
type harness struct {
	core    *dispatch.Core
	now     time.Time
	lastJob uint64
}

func newHarness(policy dispatch.Policy) *harness {
	h := &harness{core: dispatch.New(dispatch.Options{Instance: "i1", DataCentre: "dc1", Seed: 1, Policy: policy}), now: startTime}
	h.step(dispatch.ConfigChanged{Config: structs.SystemConfig{
		Version: 1,
		Classes: map[string]structs.Class{
			"urgent": {Rank: 0, MaxQueue: 1000},
			"later":  {Rank: 1, MaxQueue: 1000},
		},
		Tenants: map[string]structs.Tenant{"t1": {Weight: 1}, "t2": {Weight: 1}, "small": {Weight: 1, QuotaSlots: 2}},
	}})
	h.step(dispatch.LeaseChanged{Held: true})
	return h
}

func (h *harness) step(ev dispatch.Event) []dispatch.Effect {
	h.core.Step(h.now, ev)
	return append([]dispatch.Effect(nil), h.core.Ready()...)
}

func (h *harness) stepAfter(d time.Duration, ev dispatch.Event) []dispatch.Effect {
	h.now = h.now.Add(d)
	return h.step(ev)
}

func announcement(id, incarnation string, slots int) structs.Announcement {
	return structs.Announcement{
		TargetID: id, Incarnation: incarnation, Address: "127.0.0.1:1", State: structs.TargetReady, Slots: slots,
	}
}

func (h *harness) target(id string, slots int) []dispatch.Effect {
	return h.step(dispatch.TargetAnnounced{Announcement: announcement(id, "a", slots)})
}

// job returns a job of n tasks with a deadline in 10 s.
func (h *harness) job(class string, n int) structs.Job {
	h.lastJob++
	j := structs.Job{
		ID: structs.JobIDAt(h.now, h.lastJob), DataCentre: "dc1", Tenant: "t1", Class: class,
		DeadlineUnixMS: h.now.Add(10 * time.Second).UnixMilli(),
	}
	for range n {
		j.Tasks = append(j.Tasks, structs.Task{DeclaredMS: 100})
	}
	return j
}

// submit admits and releases a job and returns the effects of the release.
func (h *harness) submit(j structs.Job) []dispatch.Effect {
	Expect(h.step(dispatch.AdmitJob{Job: j})).To(ContainElement(dispatch.JobAdmitted{JobID: j.ID}))
	return h.step(dispatch.ReleaseJob{JobID: j.ID})
}

func effectsOf[T dispatch.Effect](effects []dispatch.Effect) []T {
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
	for _, f := range effectsOf[dispatch.JobFinished](effects) {
		out = append(out, f.Answer.Outcome)
	}
	return out
}
