package ring_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"hawthornshore.example/ring"
)

func TestRing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ring")
}

var _ = Describe("Ring", func() {
	// Guards against an element that is dropped without an error.
	It("returns ErrFull when it is full", func() {
		r := ring.New[int](2)
		Expect(r.Push(1)).To(Succeed())
		Expect(r.Push(2)).To(Succeed())
		Expect(r.Push(3)).To(MatchError(ring.ErrFull))
		Expect(r.PopAll(nil)).To(Equal([]int{1, 2}))
		Expect(r.Push(4)).To(Succeed())
		Expect(r.PopAll(nil)).To(Equal([]int{4}))
	})

	// Guards against a producer that stays blocked although there is space, and
	// against lost or duplicated elements.
	It("delivers every element of waiting producers once", func() {
		const producers, perProducer = 8, 500
		r := ring.New[int](3)
		var group errgroup.Group
		for p := range producers {
			group.Go(func() error {
				for i := range perProducer {
					if err := r.PushWait(context.Background(), p*perProducer+i); err != nil {
						return err
					}
				}
				return nil
			})
		}
		received := make(map[int]int)
		for len(received) < producers*perProducer {
			<-r.Ready()
			for _, v := range r.PopAll(nil) {
				received[v]++
			}
		}
		Expect(group.Wait()).To(Succeed())
		for v, count := range received {
			Expect(count).To(Equal(1), "element %d", v)
		}
	})

	// Guards against a producer that waits for ever on a closed ring.
	It("fails pushes after Close", func() {
		r := ring.New[int](1)
		Expect(r.Push(1)).To(Succeed())
		r.Close()
		Expect(r.PushWait(context.Background(), 2)).To(MatchError(ring.ErrClosed))
		Expect(r.PopAll(nil)).To(Equal([]int{1}))
	})
})
