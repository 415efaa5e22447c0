package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
)

var _ = Describe("readiness", func() {
	instance := func(ownership claims.Ownership, held bool) *Server {
		s := &Server{stop: newPlannedStop()}
		s.configVersion.Store(1)
		s.ownership.Store(&ownership)
		s.lease.Store(&lease.LeaseChanged{Held: held, Until: time.Now().Add(time.Hour)})
		return s
	}

	// Guards against an instance that never becomes ready because rendezvous
	// hashing gives it none of the partitions.
	It("does not need a partition, but the lease", func() {
		Expect(instance(claims.Ownership{}, true).notReady()).To(BeEmpty())
		Expect(instance(claims.Ownership{}, false).notReady()).NotTo(BeEmpty())
		Expect((&Server{stop: newPlannedStop()}).notReady()).NotTo(BeEmpty())
	})

	// Guards against jobs that are sent to an owner that must not admit them.
	It("waits for all owned partitions", func() {
		Expect(instance(claims.Ownership{Owned: 2, Ready: 2}, true).notReady()).To(BeEmpty())
		Expect(instance(claims.Ownership{Owned: 2, Ready: 1}, true).notReady()).NotTo(BeEmpty())
	})
})
