package cluster

import (
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// fill sets every field of a value to a non-zero value. Durations are whole
// milliseconds, as on the links.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Uint64:
		v.SetUint(3)
	default:
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(int64(5 * time.Millisecond))
			return
		}
		v.SetInt(2)
	}
}

func filled[T any]() T {
	var value T
	fill(reflect.ValueOf(&value).Elem())
	return value
}

// Guards against a field that is lost between two processes: a run was handed
// over without Stored, and its target dropped the run's end before the end was
// in the log.
var _ = Describe("messages between processes keep every field", func() {
	It("of a job", func() {
		job := filled[placement.Job]()
		Expect(jobFromWire(jobToWire(1, &job))).To(Equal(job))
	})
	It("of placements", func() {
		placements := []placement.Placement{filled[placement.Placement]()}
		Expect(placementsFromWire(placementsToWire(placements))).To(Equal(placements))
	})
	It("of reports", func() {
		reports := []placement.Report{filled[placement.Report]()}
		Expect(reportsFromWire(reportsToWire(reports))).To(Equal(reports))
	})
	It("of a lost run", func() {
		loss := filled[placement.RunLoss]()
		Expect(runLossFromWire(runLossToWire(&loss))).To(Equal(loss))
	})
	It("of available targets", func() {
		targets := []placement.AvailableTarget{filled[placement.AvailableTarget]()}
		Expect(availabilityFromWire(availabilityToWire(targets))).To(Equal(targets))
	})
	It("of a hand-over", func() {
		handOver := filled[placement.HandOver]()
		Expect(handOverFromWire(handOverToWire(&handOver))).To(Equal(handOver))
	})
})
