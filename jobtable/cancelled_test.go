package jobtable

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/wire"
)

var _ = Describe("cancelled jobs that are not stored", func() {
	var table *Table
	cancelAt := func(ms int64, id string) {
		table.Apply(ms, []*wire.JobCommand{{Body: &wire.JobCommand_Cancel{Cancel: &wire.JobCancel{JobId: id, NotStored: true}}}})
	}
	BeforeEach(func() { table = New(time.Minute) })

	// Guards against a coordinator that joins or restarts after the cancellation and
	// starts the job when a repeat of its request arrives.
	It("are in a snapshot", func() {
		cancelAt(1000, id)
		cancelAt(2000, id)
		state := &wire.CoordinatorState{}
		table.Snapshot(state)
		restored := New(time.Minute)
		Expect(restored.Restore(state)).To(Succeed())
		Expect(restored.Cancelled()).To(HaveExactElements(CancelledJob{ID: id, AtMS: 1000}))
	})

	// Guards against records that are removed while a repeat may arrive, and against
	// those that fill the memory.
	It("are removed after half a minute, or after ten thousand later ones", func() {
		cancelAt(1000, id)
		table.Apply(31_000, nil)
		Expect(table.Cancelled()).To(HaveLen(1))
		table.Apply(31_001, nil)
		Expect(table.Cancelled()).To(BeEmpty())
		for i := range maxCancelled + 1 {
			cancelAt(40_000, fmt.Sprintf("%016x", i))
		}
		Expect(table.Cancelled()).To(HaveLen(maxCancelled))
		Expect(table.Cancelled()[0].ID).To(Equal(fmt.Sprintf("%016x", 1)))
	})

	// Guards against coordinators of two versions that differ in the state of a stored
	// job: an earlier version cancels the stored job with the ID.
	It("include a stored job with the ID", func() {
		table.Apply(1000, []*wire.JobCommand{accept("c1/1", 1)})
		cancelAt(1000, id)
		Expect(table.Job(id).State).To(Equal(wire.StoredState_STORED_STATE_CANCELLED))
	})
})
