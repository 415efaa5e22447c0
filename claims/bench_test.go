package claims_test

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"hawthornshore.example/claims"
	"hawthornshore.example/structs"
)

// benchInterval is the time between two jobs: 5,000 jobs/s, so that the table
// holds 300,000 records.
const benchInterval = 200 * time.Microsecond

// claimBytes is the size of a claim copy without an answer.
const claimBytes = 48

func newOwner(members ...string) *claims.Core {
	c := claims.New(claims.Options{Instance: "a", Start: start})
	c.Step(start, claims.MembersChanged{Epoch: 1, Members: members})
	c.Step(start, claims.LeaseChanged{Held: true})
	return c
}

// claimJob takes job number i from its submission to its answer.
func claimJob(owner *claims.Core, i uint64, members []string, copied func(now time.Time, id structs.JobID, out []claims.Effect)) {
	now := start.Add(recoveryTime + time.Duration(i)*benchInterval)
	j := structs.Job{ID: structs.JobIDAt(now, i<<8), DeadlineUnixMS: now.Add(time.Second).UnixMilli()}
	for low := uint64(0); claims.Owner(members, claims.Partition(j.ID)) != "a"; low++ {
		j.ID = structs.JobIDAt(now, i<<8|low)
	}
	owner.Step(now, claims.Submit{Request: claims.RequestID(i), Job: j})
	owner.Step(now, claims.JobAdmitted{JobID: j.ID})
	copied(now, j.ID, owner.Ready())
	owner.Step(now, claims.JobFinished{Answer: complete(j.ID)})
	copied(now, j.ID, owner.Ready())
}

func BenchmarkClaimWithoutCopy(b *testing.B) {
	members := []string{"a"}
	owner := newOwner(members...)
	b.ReportAllocs()
	for i := range uint64(b.N) {
		claimJob(owner, i, members, func(time.Time, structs.JobID, []claims.Effect) {})
	}
}

func BenchmarkClaimWithCopyInMemory(b *testing.B) {
	members := []string{"a", "b"}
	owner := newOwner(members...)
	backup := claims.New(claims.Options{Instance: "b", Start: start})
	b.ReportAllocs()
	for i := range uint64(b.N) {
		claimJob(owner, i, members, func(now time.Time, id structs.JobID, out []claims.Effect) {
			for _, e := range out {
				if s, ok := e.(claims.SendCopy); ok {
					backup.Step(now, claims.CopyReceived{Peer: "a", Copy: s.Copy})
					owner.Step(now, claims.CopyAcked{Peer: "b", JobID: id})
				}
			}
		})
	}
}

// BenchmarkCopyRoundTrip measures the latency that the copy adds to a start: one
// message and its acknowledgement over a connection on the loopback interface.
func BenchmarkCopyRoundTrip(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
			conn.Close()
		}
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	message := make([]byte, claimBytes)
	for range b.N {
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, message); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSyncedWrite measures the latency of the alternative: a synced log.
func BenchmarkSyncedWrite(b *testing.B) {
	file, err := os.Create(filepath.Join(b.TempDir(), "log"))
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	for range b.N {
		if _, err := file.Write(make([]byte, claimBytes)); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRefusalMemory reports the memory of one stored refusal.
func BenchmarkRefusalMemory(b *testing.B) {
	const refusals = 200_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		owner := newOwner("a")
		now := start.Add(recoveryTime)
		for i := range uint64(refusals) {
			j := structs.Job{ID: structs.JobIDAt(now, i), DeadlineUnixMS: now.Add(time.Second).UnixMilli()}
			owner.Step(now, claims.Submit{Request: claims.RequestID(i), Job: j})
			owner.Step(now, claims.JobFinished{Answer: structs.Answer{
				JobID: j.ID, Outcome: structs.OutcomeNotRun, Reason: structs.ReasonQueueFull,
			}})
			owner.Ready()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/refusals, "B/refusal")
		runtime.KeepAlive(owner)
	}
}
