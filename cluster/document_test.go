package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/consensus"
)

var _ = Describe("documentStore", func() {
	apply := func(s *documentStore, version uint64, body string) {
		document := Document{Version: version, Body: []byte(body)}
		_, err := s.Apply(&consensus.Entry{Data: document.encode()})
		Expect(err).NotTo(HaveOccurred())
	}

	// Guards against an older document, or another one under the same version,
	// that takes the place of the one in force.
	It("keeps the document with the highest version, as it was sent first", func() {
		s := &documentStore{}
		apply(s, 7, "seven")
		apply(s, 5, "five")
		apply(s, 7, "other seven")
		Expect(s.current()).To(Equal(Document{Version: 7, Body: []byte("seven")}))
	})

	// Guards against a document that is lost or changed over a snapshot.
	It("restores a snapshot", func() {
		s, restored := &documentStore{}, &documentStore{}
		apply(s, 9, "nine")
		data, err := s.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.current()).To(Equal(s.current()))
		Expect(restored.Restore([]byte("x"))).NotTo(Succeed())
	})
})
