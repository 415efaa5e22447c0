package cluster

import (
	"reflect"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// fill gives every field of a value something else than its zero value. Times are
// whole milliseconds, as on the links.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
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

// Guards against a field that gets lost between two processes: a run that was
// handed over without the word that its job is stored had its end forgotten by
// its target before the log had it.
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
	It("of rooms", func() {
		rooms := []placement.AvailableTarget{filled[placement.AvailableTarget]()}
		Expect(roomsFromWire(roomsToWire(rooms))).To(Equal(rooms))
	})
	It("of a hand-over", func() {
		hand := filled[placement.HandOver]()
		Expect(handOverFromWire(handOverToWire(&hand))).To(Equal(hand))
	})
})
