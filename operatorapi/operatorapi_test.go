package operatorapi_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/operatorapi"
	"hawthornshore.example/structs"
)

func TestOperatorAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Operator API")
}

var _ = Describe("Diff", func() {
	before := structs.SystemConfig{
		Version: 1,
		Classes: map[string]structs.Class{"c": {Name: "c", Rank: 1, MaxQueue: 5}},
		Tenants: map[string]structs.Tenant{"old": {Name: "old", Weight: 0.25}},
	}

	// Guards against a conflict reply that omits part of the winning change.
	It("lists changed, added and removed values in a stable order", func() {
		after := structs.SystemConfig{
			Version: 2,
			Classes: map[string]structs.Class{"c": {Name: "c", Rank: 1, MaxQueue: 6}, "b": {Name: "b", SharePercent: 12.5}},
		}
		var lines []string
		for _, change := range operatorapi.Diff(before, after) {
			lines = append(lines, change.String())
		}
		Expect(lines).To(Equal([]string{
			"[class.b] rank: none -> 0",
			"[class.b] share_percent: none -> 12.5",
			"[class.b] max_queue: none -> 0",
			"[class.c] max_queue: 5 -> 6",
			"[tenant.old] weight: 0.25 -> none",
			"[tenant.old] quota_slots: 0 -> none",
		}))
	})

	// Guards against a difference that comes from the version alone.
	It("returns no changes for equal content", func() {
		after := before
		after.Version = 9
		Expect(operatorapi.Diff(before, after)).To(BeEmpty())
	})
})

var _ = Describe("ApplyRequest", func() {
	// Guards against changes without an operator to contact or an ID to resend with.
	DescribeTable("requires an operator and an operation ID", func(request operatorapi.ApplyRequest, message string) {
		err := request.Check()
		if message == "" {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(err).To(MatchError(HavePrefix(message)))
	},
		Entry("both", operatorapi.ApplyRequest{OperationID: "op", Operator: "ada"}, ""),
		Entry("no operation", operatorapi.ApplyRequest{Operator: "ada"}, "operation_id"),
		Entry("long operation", operatorapi.ApplyRequest{OperationID: strings.Repeat("x", 129), Operator: "ada"}, "operation_id"),
		Entry("no operator", operatorapi.ApplyRequest{OperationID: "op"}, "operator"),
	)
})
