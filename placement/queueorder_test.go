package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/placement"
)

// loadClass is a class of jobs in a shortage.
type loadClass struct {
	priority int
	task     time.Duration
	share    float64 // of the capacity that the class offers
	minTasks int
	maxTasks int
}

// classResult counts the jobs of a class, and of its wide jobs.
type classResult struct {
	offered, inTime, late, refused, aborted int
	wideOffered, wideInTime                 int
	offeredWork, inTimeWork                 float64
	refusedAfter                            time.Duration // sum of the ages at refusal
	retries                                 map[time.Duration]int
}

func (r *classResult) share() float64 { return float64(r.inTime) / float64(max(r.offered, 1)) }
func (r *classResult) wideShare() float64 {
	return float64(r.wideInTime) / float64(max(r.wideOffered, 1))
}

const (
	shortageTargets = 12
	shortageNeed    = 4000 // of a target's 32,000, or of 48,000 of every third one
	shortageBudget  = 1500 * time.Millisecond
	shortageSpread  = 0.4 // of the estimates
	shortageLength  = 12 * time.Second
)

// shortage is a load beyond the capacity.
type shortage struct {
	*simulation
	classes  []*loadClass
	results  []*classResult
	works    map[string]time.Duration // run time of a job's tasks, by task
	jobClass map[string]int
	wide     map[string]bool
	sent     map[string]time.Duration
	before   func(*shortage) // called before the load; may be nil
}

func newShortage(order placement.QueueOrder, seed uint64, cores int, classes []*loadClass) *shortage {
	s := newOrderedSimulation(order, seed, cores, shortageTargets)
	s.progress, s.sparseChecks = true, true
	l := &shortage{
		simulation: s, classes: classes, works: map[string]time.Duration{},
		jobClass: map[string]int{}, wide: map[string]bool{}, sent: map[string]time.Duration{},
	}
	for range classes {
		l.results = append(l.results, &classResult{retries: map[time.Duration]int{}})
	}
	s.work = func(task string) time.Duration { return l.works[task] }
	s.answered = l.jobAnswered
	return l
}

// slots returns the number of tasks that all targets run at the same time.
func slots() float64 {
	sum := 0
	for i := range shortageTargets {
		sum += (32000 + 16000*(i%3/2)) / shortageNeed
	}
	return float64(sum)
}

func (l *shortage) jobAnswered(e placement.AnswerJob) {
	r := l.results[l.jobClass[e.JobID]]
	age := l.now - l.sent[e.JobID]
	job := l.jobs[e.JobID]
	objective := time.Duration(job.Stretch*float64(job.Steps[0].Expected)) + job.Allowance
	switch {
	case e.Outcome == placement.NotRun:
		r.refused++
		r.refusedAfter += age
		r.retries[e.RetryAfter]++
	case e.Outcome != placement.Completed:
		r.aborted++
	case age > objective:
		r.late++
	default:
		r.inTime++
		r.inTimeWork += l.workOf(&job)
		if l.wide[e.JobID] {
			r.wideInTime++
		}
	}
}

func (l *shortage) workOf(job *placement.Job) float64 {
	return float64(job.Steps[0].Count) * l.classes[l.jobClass[job.ID]].task.Seconds()
}

// offer submits jobs of a class from now on. The random numbers do not depend on what
// the cores do, so that both orders get the same load.
func (l *shortage) offer(index int, random *rand.Rand, until time.Duration) {
	c := l.classes[index]
	mean := float64(c.minTasks+c.maxTasks) / 2
	rate := c.share * slots() / (mean * c.task.Seconds())
	l.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() {
		if l.now >= until {
			return
		}
		job := l.newClassJob(index, random)
		coordinator := l.coordinators[random.IntN(len(l.coordinators))]
		l.jobs[job.ID] = job
		l.lastRef++
		caller := placement.Caller{Gateway: "g" + coordinator.name, Ref: l.lastRef}
		l.unanswered[caller] = job.ID
		l.sent[job.ID] = l.now
		l.step(coordinator, placement.Submit{Caller: caller, Job: job})
		l.after(shortageBudget, func() {
			if _, waits := l.unanswered[caller]; waits {
				l.step(coordinator, placement.Withdraw{Caller: caller})
			}
		})
		l.offer(index, random, until)
	})
}

func (l *shortage) newClassJob(index int, random *rand.Rand) placement.Job {
	c, r := l.classes[index], l.results[index]
	id := fmt.Sprintf("%016x", random.Uint64())
	count := c.minTasks + random.IntN(c.maxTasks-c.minTasks+1)
	for i := range count {
		l.works[fmt.Sprintf("%s.0.0.%d", id, i)] = time.Duration(float64(c.task) * math.Exp(0.2*random.NormFloat64()-0.02))
	}
	estimate := float64(c.task) * math.Exp(shortageSpread*random.NormFloat64())
	job := placement.Job{
		ID: id, Queue: fmt.Sprintf("q%d", index), Service: "desk", Priority: c.priority, MaxAttempts: 2,
		Stretch: 1.6, Allowance: 60 * time.Millisecond, Budget: shortageBudget,
		Steps: []placement.Step{{
			Count: count, Expected: time.Duration(estimate), Need: placement.Resources{CPUMillis: shortageNeed},
		}},
	}
	l.jobClass[id] = index
	r.offered++
	if l.wide[id] = count >= c.maxTasks && c.maxTasks > c.minTasks; l.wide[id] {
		r.wideOffered++
	}
	r.offeredWork += l.workOf(&job)
	return job
}

// play offers all classes and returns the results.
func (l *shortage) play() {
	l.simulation.run(l.now + 2*time.Second) // the coordinators take the targets over
	if l.before != nil {
		l.before(l)
	}
	until := l.now + shortageLength
	for i := range l.classes {
		l.offer(i, rand.New(rand.NewPCG(uint64(i), 7)), until)
	}
	l.simulation.run(until + 3*time.Second)
	Expect(l.violations).To(BeEmpty())
}

func (l *shortage) report(order placement.QueueOrder) {
	for i, r := range l.results {
		GinkgoWriter.Printf("%s | class %d | priority %d | offered %d | in time %.2f | wide %.2f of %d | late %d | refused %d after %d ms | aborted %d\n",
			order, i, l.classes[i].priority, r.offered, r.share(), r.wideShare(), r.wideOffered, r.late, r.refused,
			r.refusedAfter.Milliseconds()/int64(max(r.refused, 1)), r.aborted)
	}
	GinkgoWriter.Printf("%s | work in time %.3f\n", order, l.workInTime())
}

func (l *shortage) workInTime() float64 {
	inTime, offered := 0.0, 0.0
	for _, r := range l.results {
		inTime += r.inTimeWork
		offered += r.offeredWork
	}
	return inTime / offered
}

// least returns the smallest share in time of a class.
func (l *shortage) least() float64 {
	least := 1.0
	for _, r := range l.results {
		least = min(least, r.share())
	}
	return least
}

// loads returns classes that offer shares of the capacity.
func loads(priorities []int, shares ...float64) []*loadClass {
	tasks := []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond}
	var classes []*loadClass
	for i, share := range shares {
		classes = append(classes, &loadClass{priority: priorities[i], task: tasks[i], share: share, minTasks: 2, maxTasks: 8})
	}
	return classes
}

// playBoth plays a load under the priority order and the cost order.
func playBoth(cores int, classes func() []*loadClass, before func(*shortage)) (priority, cost *shortage) {
	play := func(order placement.QueueOrder) *shortage {
		l := newShortage(order, 1, cores, classes())
		l.before = before
		l.play()
		l.report(order)
		return l
	}
	return play(placement.PriorityOrder), play(placement.CostOrder)
}

// sumTolerance is how much less work in time is accepted. The floors cost up to 0.042 (four
// seeds) in a burst of the most urgent class if its tasks are short.
const sumTolerance = 0.05

// leastGain is what the class that the priority order serves least gains at least: more
// than the spread between seeds.
const leastGain = 0.05

var _ = Describe("the cost order", func() {
	upwards, downwards := []int{0, 1, 2}, []int{2, 1, 0}

	// Guards against a class that gets only what the more urgent ones leave, and against
	// wide jobs that are passed over for narrow ones.
	DescribeTable("serves each class and its wide jobs in proportion, and as much in all",
		func(cores int, priorities []int, shares []float64, before func(*shortage)) {
			priority, cost := playBoth(cores, func() []*loadClass { return loads(priorities, shares...) }, before)
			Expect(cost.least()).To(BeNumerically(">", priority.least()+leastGain))
			Expect(cost.workInTime()).To(BeNumerically(">=", priority.workInTime()-sumTolerance))
			for i, r := range cost.results {
				Expect(r.wideShare()).To(BeNumerically(">=", r.share()/2), "wide jobs of class %d", i)
				Expect(r.aborted).To(BeNumerically("<=", r.offered/100), "aborted jobs of class %d", i)
			}
		},
		Entry("in an overload of 10%", 2, upwards, []float64{0.37, 0.37, 0.37}, nil),
		Entry("in an overload of 25%", 2, upwards, []float64{0.42, 0.42, 0.42}, nil),
		Entry("in an overload of 25% where the longest tasks are the most urgent", 2, downwards, []float64{0.42, 0.42, 0.42}, nil),
		Entry("with equal priorities", 2, []int{1, 1, 1}, []float64{0.42, 0.42, 0.42}, nil),
		Entry("with four coordinators that compete", 4, upwards, []float64{0.42, 0.42, 0.42}, nil),
		// Here all jobs compete with their like: only the wide ones are protected.
		Entry("with a single class", 2, upwards, []float64{1.25}, nil),
		Entry("in a burst of the least urgent class", 2, upwards, []float64{0.3, 0.3, 1.2}, nil),
		Entry("in a burst of the most urgent class", 2, upwards, []float64{1.2, 0.3, 0.3}, nil),
		Entry("in a burst of the most urgent class of long tasks", 2, downwards, []float64{0.3, 0.3, 1.2}, nil),
		Entry("with a quarter of the targets gone beside a burst", 2, upwards, []float64{0.3, 0.3, 0.6}, (*shortage).loseQuarter),
		Entry("in a burst of wide jobs", 2, upwards, []float64{0.3, 0.3, 0.3}, (*shortage).widen),
	)

	// Guards against a change of placements while capacity is free.
	It("places all tasks as the priority order does while there is room for all", func() {
		var starts [2][]placement.StartOrder
		for i, order := range []placement.QueueOrder{placement.PriorityOrder, placement.CostOrder} {
			l := newShortage(order, 1, 2, loads(upwards, 0.1, 0.1, 0.1))
			l.started = func(start placement.StartOrder) { starts[i] = append(starts[i], start) }
			l.play()
		}
		Expect(len(starts[0])).To(BeNumerically(">", 500))
		Expect(starts[1]).To(Equal(starts[0]))
	})

	// Guards against refused callers that all come back at the same moment.
	It("spreads the return of refused callers", func() {
		l := newShortage(placement.CostOrder, 1, 2, loads(upwards, 0.5, 0.5, 0.5))
		l.play()
		retries, refused := l.results[0].retries, l.results[0].refused
		Expect(refused).To(BeNumerically(">", 100))
		Expect(len(retries)).To(BeNumerically(">", refused*9/10))
		for retry := range retries {
			Expect(retry).To(And(BeNumerically(">=", time.Second), BeNumerically("<=", 4*time.Second)))
		}
	})

	// Guards against a late stored job that is refused or never started: it has no time limit.
	It("never refuses a stored job, however late, and starts it with capacity that is free", func() {
		h := newHarnessWith(placement.CostOrder)
		h.acquire("t")
		h.submit("0000000000000001", 2, 1)
		h.confirmStarts()
		h.step(0, placement.LogReadConfirmed{StartedAt: h.now})
		h.step(0, placement.StoredJobChanged{Job: storedShortageJob("0000000000000002"), Home: "c0/1", RunLimit: 1000, Tasks: [][]placement.TaskProgress{make([]placement.TaskProgress, 3)}})
		for range 100 {
			h.step(placement.TickInterval, placement.Tick{})
			h.step(0, placement.LogReadConfirmed{StartedAt: h.now})
		}
		for _, answer := range take[placement.AnswerJob](h) {
			Expect(answer.JobID).To(Equal("0000000000000001"))
		}
		Expect(h.core.StoredJobs()).To(ConsistOf("0000000000000002"))
	})

	// Guards against a job whose step exceeds all targets and that is never started.
	It("starts a job wider than all targets if nothing else is in progress", func() {
		h := newHarnessWith(placement.CostOrder)
		h.acquire("t")
		h.submit("0000000000000001", 5, 1)
		Expect(take[placement.StartOrder](h)).To(HaveLen(2))
	})

	// Guards against a wide job that takes capacity although the rest of its step cannot
	// follow in time, while a narrow job could use it.
	It("leaves free capacity to a narrow job that a wide one cannot use in time", func() {
		h := newHarnessWith(placement.CostOrder)
		h.acquire("t")
		h.runLong(14000, 2)
		h.submitStep(2, placement.Step{Count: 3, Need: placement.Resources{CPUMillis: 4000}, Expected: 200 * time.Millisecond})
		Expect(take[placement.StartOrder](h)).To(BeEmpty())
		h.submitStep(3, placement.Step{Count: 1, Need: placement.Resources{CPUMillis: 4000}, Expected: 200 * time.Millisecond})
		Expect(take[placement.StartOrder](h)).To(HaveExactElements(HaveField("Task", HavePrefix("0000000000000003"))))
	})

	// Guards against a job that waits for its time limit although the work ahead of it
	// takes longer.
	It("refuses at once what the work ahead makes late, with the reason", func() {
		h := newHarnessWith(placement.CostOrder)
		h.acquire("t")
		h.submit("0000000000000001", 2, 1)
		h.confirmStarts()
		for i := range 10 {
			h.submit(fmt.Sprintf("%016x", i+2), 2, uint64(i+2))
		}
		h.step(placement.TickInterval, placement.Tick{})
		answers := take[placement.AnswerJob](h)
		Expect(answers).NotTo(BeEmpty())
		Expect(answers).To(HaveEach(And(
			HaveField("Outcome", placement.NotRun), HaveField("Reason", "backlog_exceeds_objective"))))
		Expect(len(answers)).To(BeNumerically("<", 10))
	})
})

func newHarnessWith(order placement.QueueOrder) *harness {
	h := newHarness()
	h.core = placement.New(placement.Options{
		Name: "c0", Home: "c0/1", Lease: time.Second, StopTime: 50 * time.Millisecond, UnixMS: 1_700_000_000_000,
		QueueOrder: order,
	})
	return h
}

func storedShortageJob(id string) placement.Job {
	stored := job(id, 3)
	stored.Stored = true
	return stored
}

// loseQuarter cuts off every fourth target.
func (l *shortage) loseQuarter() {
	for i, t := range l.targets {
		if i%4 == 0 {
			t.partitioned = true
			l.step(l.coordinators[t.home], placement.TargetDeregistered{Target: t.runner.Description.ID, BootUnixMS: t.runner.Description.BootUnixMS})
		}
	}
}

// widen adds a class of wide jobs only.
func (l *shortage) widen() {
	l.classes = append(l.classes, &loadClass{priority: 1, task: 200 * time.Millisecond, share: 0.4, minTasks: 16, maxTasks: 24})
	l.results = append(l.results, &classResult{retries: map[time.Duration]int{}})
}
