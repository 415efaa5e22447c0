package structs_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/structs"
)

func TestStructs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "structs")
}

var _ = Describe("JobID", func() {
	// Guards against an ID whose time differs from the one it was made with,
	// which would move it across a recovery horizon.
	It("carries its time", func() {
		at := time.UnixMilli(1_796_367_026_160)
		id := structs.JobIDAt(at, 0xdead_beef_0123_4567)
		Expect(id.Time()).To(BeTemporally("==", at))
		parsed, err := structs.ParseJobID(id.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(id))
	})

	// Guards against reading a time from an ID that carries none.
	DescribeTable("rejects IDs other than version 7 UUIDs",
		func(text string) {
			_, err := structs.ParseJobID(text)
			Expect(err).To(BeAssignableToTypeOf(&structs.RequestError{}))
		},
		Entry("empty", ""),
		Entry("version 4", "9c5b94b1-35ad-49bb-b118-8e8fc24abf80"),
		Entry("with braces", "{01a23fd1-97f6-7d92-ba61-1e7ca1264f85}"),
		Entry("without hyphens", "01a23fd197f67d92ba611e7ca1264f85"),
		Entry("other variant", "01a23fd1-97f6-7d92-0a61-1e7ca1264f85"),
	)
})

func FuzzParseAttemptID(f *testing.F) {
	f.Add("01a23fd1-97f6-7d92-ba61-1e7ca1264f85.149.1")
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		id, err := structs.ParseAttemptID(text)
		if err != nil {
			return
		}
		// Guards against two text forms of one ID, which a target would treat as two attempts.
		again, err := structs.ParseAttemptID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q parses to %v, which does not survive a round trip", text, id)
		}
	})
}
