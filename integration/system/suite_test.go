// Package system tests the system state (docs/design.md, sections 8.1 and 11)
// with real processes: voters with data folders, several data centres,
// membership, takeover and graceful stops.
package system

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// programs is the folder of the built programs.
var programs string

func TestSystem(t *testing.T) {
	programs = t.TempDir()
	build := exec.Command("go", "build", "-o", programs+string(filepath.Separator),
		"hawthornshore.example/apps/hawthornd",
		"hawthornshore.example/apps/hawthornctl",
		"hawthornshore.example/apps/hawthorn-target")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the programs: %s\n%s", err, output)
	}
	RegisterFailHandler(Fail)
	SetDefaultEventuallyPollingInterval(20 * time.Millisecond)
	RunSpecs(t, "system")
}

// sharedClusters are the clusters that serve jobs. They start together, because an
// instance waits for a lease duration and the recovery horizon before it serves.
var sharedClusters struct{ takeover, drain, twoDataCentres *cluster }

var _ = BeforeSuite(func() {
	sharedClusters.takeover = jobCluster()
	sharedClusters.drain = jobCluster()
	sharedClusters.twoDataCentres = twoDataCentres()
	sharedClusters.twoDataCentres.start(sharedClusters.twoDataCentres.names...)
	sharedClusters.twoDataCentres.addTarget("north", 8)
	sharedClusters.twoDataCentres.addTarget("south", 8)
})
