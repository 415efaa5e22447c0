package system

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"hawthornshore.example/claims"
	"hawthornshore.example/integration"
	"hawthornshore.example/structs"
)

// jobDeadline is the time that a caller gives a job. It is longer than a
// takeover, so that a queued job is still wanted after one.
const jobDeadline = 15 * time.Second

// newJob returns a job whose ID is owned by the given one of the members.
func newJob(centre, owner string, members []string, runMS ...int) structs.Job {
	id := structs.NewJobID()
	for claims.Owner(members, claims.Partition(id)) != owner {
		id = structs.NewJobID()
	}
	job := structs.Job{
		ID: id, DataCentre: centre, Tenant: "desk", Class: "urgent",
		DeadlineUnixMS: time.Now().Add(jobDeadline).UnixMilli(),
	}
	for task, run := range runMS {
		// integration.Violations knows the answer of a task by its echo.
		payload, err := json.Marshal(struct {
			RunMS int    `json:"run_ms"`
			Echo  string `json:"echo"`
		}{run, structs.AttemptID{Job: id, Task: task, Number: 1}.String()})
		Expect(err).NotTo(HaveOccurred())
		job.Tasks = append(job.Tasks, structs.Task{Payload: payload, DeclaredMS: int64(run)})
	}
	return job
}

// ledger submits jobs and keeps every answer.
type ledger struct {
	fleet   *fleet
	pending sync.WaitGroup

	mu        sync.Mutex
	exchanges []integration.Exchange
	lost      []string // requests without a whole answer
}

// submit sends a job through an instance and returns its outcome; it is empty
// without a whole answer.
func (l *ledger) submit(via string, job structs.Job) structs.Outcome {
	answer, err := l.fleet.submit(via, job)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.lost = append(l.lost, err.Error())
		return ""
	}
	l.exchanges = append(l.exchanges, integration.Exchange{Job: job, Answer: answer})
	return answer.Outcome
}

// submitAll sends jobs through an instance and does not wait for the answers.
func (l *ledger) submitAll(via string, jobs []structs.Job) {
	for _, job := range jobs {
		l.pending.Go(func() { l.submit(via, job) })
	}
}

// outcomes waits for all answers and returns them by job, in order of arrival.
func (l *ledger) outcomes() map[structs.JobID][]structs.Outcome {
	l.pending.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	outcomes := make(map[structs.JobID][]structs.Outcome)
	for _, e := range l.exchanges {
		outcomes[e.Job.ID] = append(outcomes[e.Job.ID], e.Answer.Outcome)
	}
	return outcomes
}

// expectNoViolation compares all answers with the targets' start records.
func (l *ledger) expectNoViolation() {
	GinkgoHelper()
	l.pending.Wait()
	Expect(integration.Violations(l.fleet.starts(), l.exchanges)).To(BeEmpty())
}

// expectNoneLost checks that every request got a whole answer.
func (l *ledger) expectNoneLost() {
	GinkgoHelper()
	l.pending.Wait()
	Expect(l.lost).To(BeEmpty(), "requests that were cut")
}

// served waits until a new job of an owner's partitions is complete. The owner
// is named as of the given members, whoever owns the partitions now.
func (l *ledger) served(via, centre, owner string, members []string) {
	GinkgoHelper()
	Eventually(func() structs.Outcome {
		return l.submit(via, newJob(centre, owner, members, 1))
	}, startLimit).Should(Equal(structs.OutcomeComplete), "job of %s's partitions through %s", owner, via)
}

// waitStarted waits until the start records hold a number of the jobs' tasks.
func (f *fleet) waitStarted(jobs []structs.Job, count int) {
	GinkgoHelper()
	wanted := make(map[string]bool)
	for _, job := range jobs {
		wanted[job.ID.String()] = true
	}
	Eventually(func() int {
		started := 0
		for _, line := range f.starts() {
			if wanted[line.JobID] {
				started++
			}
		}
		return started
	}, startLimit).Should(BeNumerically(">=", count), "started tasks")
}

// jobFleet starts voters a, b and c and an instance d without a data folder,
// in one data centre with two targets of eight slots.
func jobFleet() *fleet {
	f := newFleet(spec{"a", home, true}, spec{"b", home, true}, spec{"c", home, true}, spec{"d", home, false})
	f.start(f.names...)
	f.addTarget(home, 8)
	f.addTarget(home, 8)
	return f
}

// home is the data centre of a jobFleet.
const home = "north"

// waitServing waits until every instance is ready and has served a job.
func (l *ledger) waitServing(centre string, members []string) {
	GinkgoHelper()
	l.fleet.waitReady(members...)
	for _, owner := range members {
		l.served(members[0], centre, owner, members)
	}
}

// agreed returns the members of a data centre that the voters agreed on, in the
// view of an instance.
func (f *fleet) agreed(observer, centre string) []string {
	var members struct {
		Members []struct {
			Instance   string `json:"instance"`
			DataCentre string `json:"data_centre"`
			Agreed     bool   `json:"agreed"`
		} `json:"members"`
	}
	if code, _ := call(http.MethodGet, f.instances[observer].http(), "/v1/members", nil, &members); code != http.StatusOK {
		return nil
	}
	var names []string
	for _, member := range members.Members {
		if member.Agreed && member.DataCentre == centre {
			names = append(names, member.Instance)
		}
	}
	return names
}

// jobs returns a number of jobs of one owner with one task each.
func jobs(count int, owner string, members []string, runMS int) []structs.Job {
	list := make([]structs.Job, count)
	for n := range list {
		list[n] = newJob(home, owner, members, runMS)
	}
	return list
}

// describe names a job in a failed check.
func describe(job structs.Job) string { return fmt.Sprintf("job %s", job.ID) }
