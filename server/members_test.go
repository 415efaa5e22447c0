package server

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/membership"
)

var _ = Describe("membership messages", func() {
	// Guards against a field that is lost or swapped in the conversion.
	It("are unchanged by the conversion to wire messages and back", func() {
		for _, sent := range []membership.Message{
			{Kind: membership.Ping, From: "i1", ClockUnixMS: 5},
			{
				Kind: membership.PingRequest, From: "i1", Incarnation: 2, Sequence: 3, Subject: "i4", Requester: "i5", ClockUnixMS: 6,
				Updates: []membership.Update{
					{Name: "i7", Incarnation: 8, Status: membership.Dead},
					{Name: "i9", Incarnation: 10, Status: membership.Alive},
				},
			},
		} {
			Expect(membershipFromWire(membershipToWire(&sent))).To(Equal(sent))
		}
	})
})
