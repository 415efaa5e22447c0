package dispatch

// Policy names how tasks are bound to targets and in which order they start.
type Policy string

// Policies of a core.
const (
	// PolicyHawthorn binds tasks when a slot is free, allocates slots to classes
	// by baselines and ranks, and shares them between tenants by weight.
	PolicyHawthorn Policy = "hawthorn"
	// PolicyRandom binds each task to a random target on release; each target
	// runs its tasks first in, first out. It exists for comparison.
	PolicyRandom Policy = "random"
	// PolicyTwoChoices binds each task to the less loaded of two random
	// targets, first in, first out. It exists for comparison.
	PolicyTwoChoices Policy = "least-loaded-of-two"
)

// Options are the fixed properties of a core.
type Options struct {
	Instance   string // name of the instance, unique in its data centre
	DataCentre string
	Seed       uint64 // seed of every random choice of the core
	Policy     Policy // empty means PolicyHawthorn
}
