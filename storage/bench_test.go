package storage_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hawthornshore.example/claims/lease"
	"hawthornshore.example/consensus"
	"hawthornshore.example/consensus/sysstate"
	"hawthornshore.example/structs"
)

// proposers is the number of concurrent proposers of a benchmark.
const proposers = 64

// BenchmarkProposals measures lease renewals, the most frequent command, in
// groups on folders of the operating system. The transport is in-process.
func BenchmarkProposals(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			RegisterTestingT(b)
			g := startGroup(b.TempDir(), []string{"a", "b", "c", "d", "e"}[:voters], consensus.Options{})
			defer g.stop()
			_, leader := g.leader()
			command := renewCommand()
			sent, written := g.sent.Load(), g.written.Load()
			b.ResetTimer()
			var group sync.WaitGroup
			work := make(chan struct{}, proposers)
			for range proposers {
				group.Go(func() {
					for range work {
						if _, err := leader.node.Propose(context.Background(), command); err != nil {
							b.Error(err)
						}
					}
				})
			}
			for range b.N {
				work <- struct{}{}
			}
			close(work)
			group.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(g.sent.Load()-sent)/float64(b.N), "sent-B/change")
			b.ReportMetric(float64(g.written.Load()-written)/float64(b.N), "disk-B/change")
		})
	}
}

func renewCommand() []byte {
	renew := lease.Command{Kind: lease.CommandRenew, Instance: "entry-1", Epoch: 1, Settled: true}
	command, err := sysstate.EncodeCommand(&sysstate.Command{Body: &sysstate.Command_Lease{
		Lease: sysstate.CommandToProto("lagos", &renew),
	}})
	Expect(err).NotTo(HaveOccurred())
	return command
}

// BenchmarkIdle measures the messages and CPU time of an idle group per second.
func BenchmarkIdle(b *testing.B) {
	for _, voters := range []int{3, 5} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			RegisterTestingT(b)
			g := startGroup(b.TempDir(), []string{"a", "b", "c", "d", "e"}[:voters], consensus.Options{})
			defer g.stop()
			g.leader()
			sent, messages, cpu := g.sent.Load(), g.messages.Load(), cpuTime()
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			b.StopTimer()
			seconds := b.Elapsed().Seconds()
			b.ReportMetric(float64(g.sent.Load()-sent)/seconds, "sent-B/s")
			b.ReportMetric(float64(g.messages.Load()-messages)/seconds, "messages/s")
			b.ReportMetric(float64(cpuTime()-cpu)/float64(time.Millisecond)/seconds, "cpu-ms/s")
		})
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &usage)).To(Succeed())
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSnapshot measures the snapshot of a configuration with 300 tenants,
// 20 classes and 56 agreed members, with a full history.
func BenchmarkSnapshot(b *testing.B) {
	RegisterTestingT(b)
	config := structs.SystemConfig{Classes: map[string]structs.Class{}, Tenants: map[string]structs.Tenant{}}
	for i := range 20 {
		name := fmt.Sprintf("class-%02d", i)
		config.Classes[name] = structs.Class{Name: name, Rank: i, SharePercent: 5, MaxQueue: 10000}
	}
	for i := range 300 {
		name := fmt.Sprintf("tenant-%03d", i)
		config.Tenants[name] = structs.Tenant{Name: name, Weight: 1.5, QuotaSlots: 400}
	}
	encoded, err := json.Marshal(config)
	Expect(err).NotTo(HaveOccurred())
	machine := sysstate.NewMachine()
	run := func(command *sysstate.Command) {
		data, err := sysstate.EncodeCommand(command)
		Expect(err).NotTo(HaveOccurred())
		machine.Apply(sysstate.Context{Term: 1}, data)
	}
	for i := range uint64(sysstate.MaxOperations) {
		run(&sysstate.Command{OperationId: fmt.Sprintf("operation-%d", i), Body: &sysstate.Command_ApplyConfig{
			ApplyConfig: &sysstate.ApplyConfig{BaseVersion: i, Config: encoded, Author: "operator", Summary: "tenant-001: weight 1 -> 1.5"},
		}})
	}
	for i := range 56 {
		dataCentre, instance := fmt.Sprintf("dc-%d", i%14), fmt.Sprintf("entry-%d", i)
		for _, kind := range []lease.CommandKind{lease.CommandJoin, lease.CommandRenew} {
			change := lease.Command{Kind: kind, Instance: instance, Epoch: uint64(1 + i/14), Settled: true}
			run(&sysstate.Command{Body: &sysstate.Command_Lease{Lease: sysstate.CommandToProto(dataCentre, &change)}})
		}
	}
	b.ResetTimer()
	size := 0
	for range b.N {
		data, err := machine.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		size = len(data)
	}
	b.ReportMetric(float64(size), "B/snapshot")
}
