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

// jobDeadline is the time from the submission of a job to its deadline. It is
// longer than a takeover, so that a queued job has not expired after one.
const jobDeadline = 15 * time.Second

// newJob returns a job whose ID is owned by the given member.
func newJob(dataCentre, owner string, members []string, runMS ...int) structs.Job {
	id := structs.NewJobID()
	for claims.Owner(members, claims.Partition(id)) != owner {
		id = structs.NewJobID()
	}
	job := structs.Job{
		ID: id, DataCentre: dataCentre, Tenant: "desk", Class: "urgent",
		DeadlineUnixMS: time.Now().Add(jobDeadline).UnixMilli(),
	}
	for task, run := range runMS {
		// integration.Violations identifies the result of a task by its echo.
		payload, err := json.Marshal(struct {
			RunMS int    `json:"run_ms"`
			Echo  string `json:"echo"`
		}{run, structs.AttemptID{Job: id, Task: task, Number: 1}.String()})
		Expect(err).NotTo(HaveOccurred())
		job.Tasks = append(job.Tasks, structs.Task{Payload: payload, DeclaredMS: int64(run)})
	}
	return job
}

// jobCaller submits jobs and records their answers.
type jobCaller struct {
	cluster *cluster
	pending sync.WaitGroup

	mu         sync.Mutex
	exchanges  []integration.Exchange
	unanswered []string // requests without a complete answer
}

// submit submits a job through an instance and returns its outcome, which is
// empty without a complete answer.
func (c *jobCaller) submit(via string, job structs.Job) structs.Outcome {
	answer, err := c.cluster.submit(via, job)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unanswered = append(c.unanswered, err.Error())
		return ""
	}
	c.exchanges = append(c.exchanges, integration.Exchange{Job: job, Answer: answer})
	return answer.Outcome
}

// submitAll submits jobs through an instance without waiting for the answers.
func (c *jobCaller) submitAll(via string, jobs []structs.Job) {
	for _, job := range jobs {
		c.pending.Go(func() { c.submit(via, job) })
	}
}

// outcomes waits for all answers and returns them by job, in order of arrival.
func (c *jobCaller) outcomes() map[structs.JobID][]structs.Outcome {
	c.pending.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes := make(map[structs.JobID][]structs.Outcome)
	for _, e := range c.exchanges {
		outcomes[e.Job.ID] = append(outcomes[e.Job.ID], e.Answer.Outcome)
	}
	return outcomes
}

// expectNoViolation compares all answers with the targets' start records.
func (c *jobCaller) expectNoViolation() {
	GinkgoHelper()
	c.pending.Wait()
	Expect(integration.Violations(c.cluster.starts(), c.exchanges)).To(BeEmpty())
}

// expectAllAnswered checks that every request got a complete answer.
func (c *jobCaller) expectAllAnswered() {
	GinkgoHelper()
	c.pending.Wait()
	Expect(c.unanswered).To(BeEmpty(), "requests without a complete answer")
}

// waitForPartitionsOf waits until a new job in an owner's partitions is complete. The owner
// is the one among the given members, whichever instance owns the partitions now.
func (c *jobCaller) waitForPartitionsOf(via, dataCentre, owner string, members []string) {
	GinkgoHelper()
	Eventually(func() structs.Outcome {
		return c.submit(via, newJob(dataCentre, owner, members, 1))
	}, startTimeout).Should(Equal(structs.OutcomeComplete), "job of %s's partitions through %s", owner, via)
}

// waitStarted waits until the given number of the jobs' tasks have started.
func (c *cluster) waitStarted(jobs []structs.Job, count int) {
	GinkgoHelper()
	ids := make(map[string]bool)
	for _, job := range jobs {
		ids[job.ID.String()] = true
	}
	Eventually(func() int {
		started := 0
		for _, line := range c.starts() {
			if ids[line.JobID] {
				started++
			}
		}
		return started
	}, startTimeout).Should(BeNumerically(">=", count), "started tasks")
}

// jobCluster starts voters a, b and c and an instance d without a data folder,
// in one data centre with two targets of eight slots.
func jobCluster() *cluster {
	cluster := newCluster(instanceSpec{"a", jobDataCentre, true}, instanceSpec{"b", jobDataCentre, true}, instanceSpec{"c", jobDataCentre, true}, instanceSpec{"d", jobDataCentre, false})
	cluster.start(cluster.names...)
	cluster.addTarget(jobDataCentre, 8)
	cluster.addTarget(jobDataCentre, 8)
	return cluster
}

// jobDataCentre is the data centre of a jobCluster.
const jobDataCentre = "north"

// waitAllServing waits until every instance is ready and has completed a job.
func (c *jobCaller) waitAllServing(dataCentre string, members []string) {
	GinkgoHelper()
	c.cluster.waitReady(members...)
	for _, owner := range members {
		c.waitForPartitionsOf(members[0], dataCentre, owner, members)
	}
}

// agreedMembers returns the members of a data centre that the voters agreed on,
// as an instance reports them.
func (c *cluster) agreedMembers(observer, dataCentre string) []string {
	var members struct {
		Members []struct {
			Instance   string `json:"instance"`
			DataCentre string `json:"data_centre"`
			Agreed     bool   `json:"agreed"`
		} `json:"members"`
	}
	if code, _ := call(http.MethodGet, c.instances[observer].http(), "/v1/members", nil, &members); code != http.StatusOK {
		return nil
	}
	var names []string
	for _, member := range members.Members {
		if member.Agreed && member.DataCentre == dataCentre {
			names = append(names, member.Instance)
		}
	}
	return names
}

// jobs returns jobs of one owner with one task each.
func jobs(count int, owner string, members []string, runMS int) []structs.Job {
	list := make([]structs.Job, count)
	for n := range list {
		list[n] = newJob(jobDataCentre, owner, members, runMS)
	}
	return list
}

// describe returns the text for a job in the message of a failed check.
func describe(job structs.Job) string { return fmt.Sprintf("job %s", job.ID) }
