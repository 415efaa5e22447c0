package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"hawthornshore.example/structs"
)

// ClassLoad describes the jobs of one class.
type ClassLoad struct {
	Class structs.Class
	// LoadShare is the class's fraction of the offered slot time, 0 to 1.
	LoadShare float64
	// MinRun and MaxRun bound the run times, whose logarithms are distributed
	// uniformly.
	MinRun, MaxRun time.Duration
	// LongFraction is the fraction of jobs whose tasks run LongRun instead.
	LongFraction float64
	LongRun      time.Duration
	// MeanTasks is the mean number of tasks of the parallel jobs, which are the
	// fraction ParallelFraction of all jobs; the others have one task.
	MeanTasks        float64
	ParallelFraction float64
	// DeadlineSlack is the time from sending to the deadline minus the run time.
	DeadlineSlack time.Duration
}

// Workload describes the load and the fleet of one data centre of a user.
type Workload struct {
	Name          string
	Instances     int
	Targets       int
	Slots         int           // per target
	CallerLatency time.Duration // one way, between a caller and an instance
	LinkLatency   time.Duration // one way, within the data centre
	Classes       []ClassLoad
	Tenants       []structs.Tenant
	// MisdeclaredFraction is the fraction of jobs whose declared run time is wrong
	// by a factor of up to ten in either direction.
	MisdeclaredFraction float64
	// FixedTasks is the number of tasks of every job; 0: random.
	FixedTasks int
}

func tenants() []structs.Tenant {
	return []structs.Tenant{
		{Name: "north", Weight: 3},
		{Name: "south", Weight: 2},
		{Name: "east", Weight: 1},
		{Name: "west", Weight: 1},
		{Name: "audit", Weight: 1, QuotaSlots: 48},
	}
}

// Resin returns the workload of one of the four yards.
func Resin() Workload {
	return Workload{
		Name: "resin", Instances: 2, Targets: 12, Slots: 8,
		CallerLatency: time.Millisecond, LinkLatency: 250 * time.Microsecond,
		Tenants: tenants(), MisdeclaredFraction: 0.2,
		Classes: []ClassLoad{
			{
				Class: structs.Class{Name: "classification", Rank: 0, MaxQueue: 4000}, LoadShare: 0.3,
				MinRun: 50 * time.Millisecond, MaxRun: 300 * time.Millisecond,
				MeanTasks: 4, ParallelFraction: 0.3, DeadlineSlack: 2 * time.Second,
			},
			{
				Class: structs.Class{Name: "moisture", Rank: 1, MaxQueue: 4000}, LoadShare: 0.3,
				MinRun: 100 * time.Millisecond, MaxRun: 600 * time.Millisecond,
				MeanTasks: 4, ParallelFraction: 0.3, DeadlineSlack: 3 * time.Second,
			},
			{
				Class: structs.Class{Name: "assessment", Rank: 2, MaxQueue: 4000}, LoadShare: 0.4,
				MinRun: 200 * time.Millisecond, MaxRun: time.Second, LongFraction: 0.02, LongRun: 4 * time.Second,
				MeanTasks: 8, ParallelFraction: 0.5, DeadlineSlack: 5 * time.Second,
			},
		},
	}
}

// Lanyards returns the workload of one of the four sites.
func Lanyards() Workload {
	return Workload{
		Name: "lanyards", Instances: 2, Targets: 13, Slots: 8,
		CallerLatency: 3 * time.Millisecond, LinkLatency: 250 * time.Microsecond,
		Tenants: tenants(), MisdeclaredFraction: 0.2,
		Classes: []ClassLoad{
			{
				Class: structs.Class{Name: "void", Rank: 0, MaxQueue: 4000}, LoadShare: 0.2,
				MinRun: 50 * time.Millisecond, MaxRun: 400 * time.Millisecond,
				MeanTasks: 3, ParallelFraction: 0.2, DeadlineSlack: 2 * time.Second,
			},
			{
				Class: structs.Class{Name: "watchlist", Rank: 1, MaxQueue: 4000}, LoadShare: 0.4,
				MinRun: 100 * time.Millisecond, MaxRun: 800 * time.Millisecond,
				MeanTasks: 5, ParallelFraction: 0.4, DeadlineSlack: 3 * time.Second,
			},
			{
				Class: structs.Class{Name: "print", Rank: 2, MaxQueue: 4000}, LoadShare: 0.4,
				MinRun: 200 * time.Millisecond, MaxRun: time.Second, LongFraction: 0.02, LongRun: 3 * time.Second,
				MeanTasks: 6, ParallelFraction: 0.3, DeadlineSlack: 5 * time.Second,
			},
		},
	}
}

// Config returns the system configuration for the workload.
func (w *Workload) Config() structs.SystemConfig {
	config := structs.SystemConfig{
		Version: 1, Classes: make(map[string]structs.Class), Tenants: make(map[string]structs.Tenant),
	}
	for _, c := range w.Classes {
		config.Classes[c.Class.Name] = c.Class
	}
	for _, t := range w.Tenants {
		config.Tenants[t.Name] = t
	}
	return config
}

// Rename renames the classes, by rank, and the tenants. An empty list keeps the
// names; a shorter list of tenants drops the remaining ones.
func (w *Workload) Rename(classes, tenants []string) error {
	if len(classes) > 0 && len(classes) != len(w.Classes) {
		return errors.NotValidf("%d class names for %d classes", len(classes), len(w.Classes))
	}
	for i, name := range classes {
		w.Classes[i].Class.Name = name
	}
	if len(tenants) > len(w.Tenants) {
		return errors.NotValidf("%d tenant names for %d tenants", len(tenants), len(w.Tenants))
	}
	if len(tenants) > 0 {
		w.Tenants = w.Tenants[:len(tenants)]
	}
	for i, name := range tenants {
		w.Tenants[i].Name = name
	}
	return nil
}

// FixTasks gives every job the same number of tasks, all with the same run time,
// which they also declare.
func (w *Workload) FixTasks(tasks int, run time.Duration) error {
	if tasks < 1 || tasks > structs.MaxTasks || run < time.Millisecond {
		return errors.NotValidf("%d tasks of %s", tasks, run)
	}
	w.FixedTasks = tasks
	w.MisdeclaredFraction = 0
	for i := range w.Classes {
		c := &w.Classes[i]
		c.MinRun, c.MaxRun, c.LongFraction = run, run, 0
	}
	return nil
}

// Resize changes the numbers of instances and targets; 0 keeps a number. Quotas
// are scaled with the targets, so that tenants keep their shares.
func (w *Workload) Resize(instances, targets int) {
	if instances > 0 {
		w.Instances = instances
	}
	if targets <= 0 {
		return
	}
	for i := range w.Tenants {
		w.Tenants[i].QuotaSlots = w.Tenants[i].QuotaSlots * targets / w.Targets
	}
	w.Targets = targets
}

// slots returns the slots of the whole fleet.
func (w *Workload) slots() int { return w.Targets * w.Slots }

// arrival is a job with the run times of its tasks.
type arrival struct {
	job           structs.Job
	class         int
	runTimes      []time.Duration
	idealTime     time.Duration
	sent          time.Time
	overload      bool
	resubmitDelay time.Duration // until the caller resubmits the job; 0: never
}

// maxTasksPerJob bounds the tasks of a job, so that one job does not use more
// than a quarter of the small modelled fleet.
const maxTasksPerJob = 24

// newArrival generates a job of the class that is sent at the given time.
func (w *Workload) newArrival(rng *rand.Rand, class int, sent time.Time, number uint64) *arrival {
	c := &w.Classes[class]
	a := &arrival{class: class, sent: sent}
	n := 1
	if rng.Float64() < c.ParallelFraction {
		n = min(maxTasksPerJob, 2+int(rng.ExpFloat64()*(c.MeanTasks-2)))
	}
	if w.FixedTasks > 0 {
		n = w.FixedTasks
	}
	long := rng.Float64() < c.LongFraction
	wrong := 1.0
	if rng.Float64() < w.MisdeclaredFraction {
		wrong = math.Pow(10, 2*rng.Float64()-1)
	}
	a.job = structs.Job{
		ID: structs.JobIDAt(sent, number), Class: c.Class.Name, Tenant: w.Tenants[rng.IntN(len(w.Tenants))].Name,
		Tasks: make([]structs.Task, n),
	}
	a.runTimes = make([]time.Duration, n)
	for i := range n {
		run := time.Duration(float64(c.MinRun) * math.Pow(float64(c.MaxRun)/float64(c.MinRun), rng.Float64()))
		if long {
			run = time.Duration(float64(c.LongRun) * (0.75 + rng.Float64()/2))
		}
		a.runTimes[i] = run.Truncate(time.Millisecond)
		a.idealTime = max(a.idealTime, a.runTimes[i])
		a.job.Tasks[i].DeclaredMS = max(1, int64(wrong*float64(run.Milliseconds())))
	}
	a.job.DeadlineUnixMS = sent.Add(a.idealTime + c.DeadlineSlack).UnixMilli()
	return a
}

// meanJobSlotTime returns the mean slot time of a job of the class.
func (w *Workload) meanJobSlotTime(class int) time.Duration {
	const samples = 20_000
	rng := rand.New(rand.NewPCG(1, uint64(class)))
	var sum time.Duration
	for range samples {
		for _, r := range w.newArrival(rng, class, time.Time{}, 0).runTimes {
			sum += r
		}
	}
	return sum / samples
}
