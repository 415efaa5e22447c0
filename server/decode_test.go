package server_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/server"
	"hawthornshore.example/structs"
)

func TestServer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "server")
}

const goodBody = `{"job_id":"01a23fd1-97f6-7d92-ba61-1e7ca1264f85","data_centre":"north","tenant":"t","class":"c",
"deadline_unix_ms":1796367026160,"tasks":[{"payload":{"a":1},"declared_ms":50}]}`

var _ = Describe("DecodeJob", func() {
	// Guards against a valid body that is rejected, or that loses its ID or a task.
	It("decodes a job", func() {
		job, _, err := server.DecodeJob(strings.NewReader(goodBody))
		Expect(err).NotTo(HaveOccurred())
		Expect(job.Tasks).To(HaveLen(1))
		Expect(job.ID.String()).To(Equal("01a23fd1-97f6-7d92-ba61-1e7ca1264f85"))
	})

	// Guards against a resubmission that counts as another job because its
	// caller formats JSON differently.
	It("gives bodies that differ only in white space the same digest", func() {
		_, first, err := server.DecodeJob(strings.NewReader(goodBody))
		Expect(err).NotTo(HaveOccurred())
		var compact bytes.Buffer
		Expect(json.Compact(&compact, []byte(goodBody))).To(Succeed())
		_, second, err := server.DecodeJob(&compact)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).To(Equal(first))
	})

	// Guards against invalid input that reaches a target or the instance that owns
	// the job's partition.
	DescribeTable("rejects invalid bodies with a typed reason",
		func(old, replacement string, want structs.Reason) {
			body := strings.Replace(goodBody, old, replacement, 1)
			_, _, err := server.DecodeJob(strings.NewReader(body))
			var requestErr *structs.RequestError
			Expect(errors.As(err, &requestErr)).To(BeTrue(), "error: %v", err)
			Expect(requestErr.Reason).To(Equal(want))
			Expect(requestErr.Message).NotTo(BeEmpty())
		},
		Entry("truncated", `"declared_ms":50}]}`, `"declared_ms":`, structs.ReasonMalformed),
		Entry("data after the object", `"declared_ms":50}]}`, `"declared_ms":50}]} {}`, structs.ReasonMalformed),
		Entry("unknown field", `"tenant"`, `"customer"`, structs.ReasonMalformed),
		Entry("no tasks", `{"payload":{"a":1},"declared_ms":50}`, ``, structs.ReasonBadTaskCount),
		Entry("151 tasks", `{"payload":{"a":1},"declared_ms":50}`, strings.Repeat(`{},`, 150)+`{}`, structs.ReasonBadTaskCount),
		Entry("version 4 ID", `01a23fd1-97f6-7d92`, `01a23fd1-97f6-4d92`, structs.ReasonBadJobID),
		Entry("no ID", `"job_id":"01a23fd1-97f6-7d92-ba61-1e7ca1264f85",`, ``, structs.ReasonBadJobID),
		Entry("empty tenant", `"tenant":"t"`, `"tenant":""`, structs.ReasonBadField),
		Entry("no deadline", `1796367026160`, `0`, structs.ReasonBadField),
		Entry("negative declared run time", `"declared_ms":50`, `"declared_ms":-1`, structs.ReasonBadField),
	)

	// Guards against unbounded memory use by a large request.
	It("rejects an oversized body", func() {
		recorder := httptest.NewRecorder()
		request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat(" ", structs.MaxBodyBytes+1)))
		_, _, err := server.DecodeJob(http.MaxBytesReader(recorder, request.Body, structs.MaxBodyBytes))
		var requestErr *structs.RequestError
		Expect(errors.As(err, &requestErr)).To(BeTrue())
		Expect(requestErr.Reason).To(Equal(structs.ReasonBodyTooLarge))
	})
})

// FuzzDecodeJob guards against panics, errors without a typed reason, and accepted
// jobs that change when they are encoded again.
func FuzzDecodeJob(f *testing.F) {
	f.Add([]byte(goodBody))
	f.Add([]byte(`{"tasks":[null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, digest, err := server.DecodeJob(bytes.NewReader(body))
		if err != nil {
			var requestErr *structs.RequestError
			if !errors.As(err, &requestErr) {
				t.Fatalf("error is not a RequestError: %v", err)
			}
			return
		}
		again, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		_, second, err := server.DecodeJob(bytes.NewReader(again))
		if err != nil || second != digest {
			t.Fatalf("digest %d became %d after a round trip (%v)", digest, second, err)
		}
	})
}
