package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"

	"hawthornshore.example/structs"
)

// maxBucket is the number of free slots above which targets share a bucket.
const maxBucket = 64

// Tiers of targets within a pool, preferred first.
const (
	tierProbe = iota // ejected targets that are due for one task
	tierNormal
	tierSlow
	tierCount
)

// poolKey holds the properties that decide which tasks a target can run.
type poolKey struct {
	classes string // sorted and joined; empty: all
	cores   float64
	mb      int64
}

// pool indexes the usable targets of one kind by their free slots, so that the
// least loaded one is found without a scan.
type pool struct {
	key     poolKey
	classes []string
	managed int // managed, unexpired targets of this kind
	buckets [tierCount][maxBucket + 1][]*target
	top     [tierCount]int // no bucket above this one has a target
}

func keyOf(a *structs.Announcement) poolKey {
	classes := slices.Clone(a.Classes)
	slices.Sort(classes)
	return poolKey{classes: strings.Join(classes, "\n"), cores: a.Cores, mb: a.MB}
}

func (p *pool) accepts(class string) bool {
	return len(p.classes) == 0 || slices.Contains(p.classes, class)
}

func (p *pool) fits(class string, task *structs.Task) bool {
	return p.accepts(class) && fits(p.key.cores, p.key.mb, task)
}

func (p *pool) setBucket(t *target, tier, free int) {
	free = min(free, maxBucket)
	if t.bucket == free && t.tier == tier {
		return
	}
	if t.bucket > 0 {
		b := p.buckets[t.tier][t.bucket]
		last := b[len(b)-1]
		b[t.bucketIndex] = last
		last.bucketIndex = t.bucketIndex
		b[len(b)-1] = nil
		p.buckets[t.tier][t.bucket] = b[:len(b)-1]
	}
	t.tier, t.bucket = tier, free
	if free > 0 {
		t.bucketIndex = len(p.buckets[tier][free])
		p.buckets[tier][free] = append(p.buckets[tier][free], t)
		p.top[tier] = max(p.top[tier], free)
	}
}

// pick returns a random one of the targets with the most free slots in a tier,
// or nil.
func (p *pool) pick(tier int, rng *rand.Rand) *target {
	for p.top[tier] > 0 {
		if b := p.buckets[tier][p.top[tier]]; len(b) > 0 {
			return b[rng.IntN(len(b))]
		}
		p.top[tier]--
	}
	return nil
}
