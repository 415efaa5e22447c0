package cluster

import (
	"context"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
	"hawthornshore.example/wire"
)

var _ = Describe("a target from another coordinator", func() {
	sound := placement.Description{
		ID: "i-1", Service: "s", Address: "10.0.0.9:80", DataCentre: "z1", Sequence: 1,
		Capacity: placement.Resources{CPUMillis: 32000, MemoryMB: 4096}, BootUnixMS: 99,
	}
	handOver := func(c *Coordinator, d placement.Description) []placement.Event {
		c.HandleMessage(&wire.Hello{Instance: "10.2.0.1"}, &wire.Envelope{Body: &wire.Envelope_TargetHandOver{
			TargetHandOver: &wire.TargetHandOver{Target: descriptionToWire(&d)},
		}})
		return c.loop.events.PopAll(nil)
	}
	forward := func(c *Coordinator, d placement.Description) error {
		_, err := c.HandleCall(context.Background(), "10.2.0.1", &wire.Envelope{Body: &wire.Envelope_TargetHandOver{
			TargetHandOver: &wire.TargetHandOver{Target: descriptionToWire(&d)},
		}})
		return err
	}

	// Guards against an entry of another writer that a coordinator with an earlier
	// version has adopted, and that spreads by hand-overs and forwarded heartbeats.
	DescribeTable("is not taken over when it is not valid", func(change func(d *placement.Description)) {
		c := newTestCoordinator("10.1.0.1", "z1")
		Expect(handOver(c, sound)).To(ConsistOf(HaveField("Invalid", BeEmpty())))
		Expect(forward(c, sound)).To(Succeed())
		c.loop.events.PopAll(nil)
		odd := sound
		change(&odd)
		Expect(handOver(c, odd)).To(ConsistOf(HaveField("Invalid", Not(BeEmpty()))))
		Expect(forward(c, odd)).NotTo(Succeed())
		Expect(c.loop.events.PopAll(nil)).To(BeEmpty())
	},
		Entry("port out of range", func(d *placement.Description) { d.Address = "10.0.0.9:99999" }),
		Entry("sequence", func(d *placement.Description) { d.Sequence = 1 << 63 }),
		Entry("start", func(d *placement.Description) { d.BootUnixMS = -1 }),
		Entry("clock", func(d *placement.Description) { d.ClockMS = 1<<63 - 1 }),
		Entry("capacity", func(d *placement.Description) { d.Capacity.CPUMillis = 1<<63 - 1 }),
		Entry("labels", func(d *placement.Description) { d.Labels = []string{strings.Repeat("r", 1000)} }),
		Entry("ID", func(d *placement.Description) { d.ID = "" }),
	)
})
