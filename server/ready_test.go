package server

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/claims/lease"
)

var _ = Describe("readiness", func() {
	newServer := func(ownership claims.Ownership, held bool) *Server {
		s := &Server{shutdown: newShutdownState()}
		s.configVersion.Store(1)
		s.ownership.Store(&ownership)
		s.lease.Store(&lease.LeaseChanged{Held: held, Until: time.Now().Add(time.Hour)})
		return s
	}

	// Guards against an instance that never becomes ready because rendezvous
	// hashing gives it none of the partitions.
	It("requires the lease but no partition", func() {
		Expect(newServer(claims.Ownership{}, true).notReadyReason()).To(BeEmpty())
		Expect(newServer(claims.Ownership{}, false).notReadyReason()).NotTo(BeEmpty())
		Expect((&Server{shutdown: newShutdownState()}).notReadyReason()).NotTo(BeEmpty())
	})

	// Guards against jobs sent to an owner that must not admit them.
	It("waits for all owned partitions", func() {
		Expect(newServer(claims.Ownership{Owned: 2, Ready: 2}, true).notReadyReason()).To(BeEmpty())
		Expect(newServer(claims.Ownership{Owned: 2, Ready: 1}, true).notReadyReason()).NotTo(BeEmpty())
	})
})
