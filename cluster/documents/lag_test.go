package documents_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/cluster/documents"
)

func TestDocuments(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "documents")
}

var start = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

var _ = Describe("the lag of a document", func() {
	// Guards against a lag that begins anew with each superseded version that arrives.
	It("is counted from the first version that is not held", func() {
		var lag documents.Lag
		lag.Announced(at(0), 1)
		Expect(lag.Adopted(at(20), 1)).To(Equal(20 * time.Millisecond))
		Expect(lag.Behind(at(500))).To(BeZero())
		lag.Announced(at(1000), 2)
		lag.Announced(at(1100), 3)
		lag.Announced(at(1200), 3)
		Expect(lag.Adopted(at(1300), 2)).To(Equal(300 * time.Millisecond))
		Expect(lag.Behind(at(1400))).To(Equal(300 * time.Millisecond))
		Expect(lag.Newest()).To(Equal(uint64(3)))
		Expect(lag.Adopted(at(1500), 5)).To(Equal(400 * time.Millisecond))
		Expect(lag.Behind(at(1600))).To(BeZero())
		Expect(lag.Newest()).To(Equal(uint64(5)))
	})

	// Guards against memory that grows while no document arrives.
	It("is bounded in memory", func() {
		var lag documents.Lag
		for version := range uint64(10_000) {
			lag.Announced(at(int(version)), version+1)
		}
		Expect(lag.Newest()).To(Equal(uint64(10_000)))
		Expect(lag.Adopted(at(20_000), 9_999)).To(Equal(20 * time.Second))
		Expect(lag.Behind(at(20_000))).To(BeNumerically(">", 0))
	})
})
