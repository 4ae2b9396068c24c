package capacity

import (
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// output is the path of the file for the figures; TestMeasure is skipped if it is empty.
var output = flag.String("capacity.out", "", "write the measured figures to this CSV `file`")

// sizes holds the measured cluster sizes.
var sizes = []size{{3, 16, 3}, {9, 25, 3}, {30, 110, 12}, {100, 370, 12}, {350, 1300, 12}}

const (
	// settleTime is the time before a measurement in which the entries discover each other and claim the endpoints.
	settleTime = 25 * time.Second
	// idleTime is the time over which an idle cluster is measured.
	idleTime = 20 * time.Second
	// maxMembershipEntries is the largest number of entries measured in stageMembership, in which every entry polls the
	// platform because there is no gossip.
	maxMembershipEntries = 100
	// convergenceTimeout is the time in which all entries have to apply a configuration.
	convergenceTimeout = 16 * time.Second
)

// stageNames holds the names of the stages in the CSV file.
var stageNames = map[stage]string{
	stageMembership: "membership",
	stageGossip:     "spread",
	stageReports:    "reports",
}

// figure is one measured value.
type figure struct {
	size  size
	stage stage
	name  string
	value float64
}

// counters holds totals since the start of the cluster. bytes and messages are those that the entries sent to each
// other, reads and lists the counters of memoryPlatform. cpuTime is the processor time of the whole process since its
// start.
type counters struct {
	bytes, messages, reads, lists int64
	cpuTime                       time.Duration
}

// readCounters reads the counters.
func (c *cluster) readCounters() counters {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return counters{
		bytes:    c.network.bytes.Load(),
		messages: c.network.messages.Load(),
		reads:    c.platform.reads.Load(),
		lists:    c.platform.lists.Load(),
		cpuTime:  time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
	}
}

// measureIdleRates measures an idle cluster for the given duration of virtual time and returns the figures by their
// names. Bytes and messages are per entry and second. The processor time per entry is in percent of a core, the memory
// per entry in bytes. The reads and lists of the platform are per second, for all entries together.
func (c *cluster) measureIdleRates(duration time.Duration) map[string]float64 {
	before := c.readCounters()
	time.Sleep(duration)
	after := c.readCounters()
	entrySeconds := duration.Seconds() * float64(len(c.nodes))
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return map[string]float64{
		"bytes_per_second":    float64(after.bytes-before.bytes) / entrySeconds,
		"messages_per_second": float64(after.messages-before.messages) / entrySeconds,
		"processor_percent":   100 * (after.cpuTime - before.cpuTime).Seconds() / entrySeconds,
		"memory_bytes":        float64(memory.HeapAlloc+memory.StackInuse) / float64(len(c.nodes)),
		"platform_reads":      float64(after.reads-before.reads) / duration.Seconds(),
		"platform_lists":      float64(after.lists-before.lists) / duration.Seconds(),
	}
}

// allOwned reports whether the entries own as many endpoints in total as there are.
func (c *cluster) allOwned(endpoints int) bool {
	owned := 0
	for _, n := range c.nodes {
		owned += len(n.pool.Status())
	}
	return owned == endpoints
}

// measureIdle starts a cluster, publishes a configuration, waits for settleTime and measures the idle cluster. It fails
// the test if the entries don't own all endpoints by then.
func measureIdle(t *testing.T, s size, stage stage, duration time.Duration) map[string]float64 {
	t.Helper()
	var figures map[string]float64
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(s, stage)
		c.run(t, func() {
			c.publishAndWait(t, 10)
			time.Sleep(settleTime)
			if !c.allOwned(s.endpoints) {
				t.Errorf("%d entries: total of owned endpoints is not %d", s.entries, s.endpoints)
			}
			figures = c.measureIdleRates(duration)
		})
	})
	return figures
}

func TestMeasure(t *testing.T) {
	if *output == "" {
		t.Skip("requires -capacity.out; see docs/CAPACITY.md")
	}
	var figures []figure
	for _, s := range sizes {
		for stage := stageMembership; stage <= stageReports; stage++ {
			if stage == stageMembership && s.entries > maxMembershipEntries {
				continue
			}
			for name, value := range measureIdle(t, s, stage, idleTime) {
				figures = append(figures, figure{size: s, stage: stage, name: name, value: value})
			}
		}
		figures = append(figures, measureChanges(t, s)...)
		if err := writeCSV(*output, figures); err != nil {
			t.Fatal(err)
		}
		t.Logf("measured %d entries", s.entries)
	}
}

// writeCSV writes the figures to a CSV file.
func writeCSV(path string, figures []figure) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(file)
	_ = w.Write([]string{"entries", "endpoints", "zones", "stage", "figure", "value"})
	for _, f := range figures {
		_ = w.Write([]string{
			strconv.Itoa(f.size.entries), strconv.Itoa(f.size.endpoints), strconv.Itoa(f.size.zones),
			stageNames[f.stage], f.name, fmt.Sprintf("%.4g", f.value),
		})
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return err
	}
	return file.Close()
}

func TestControlFitsTheBudget(t *testing.T) {
	if testing.Short() {
		t.Skip("runs 30 entries")
	}
	const (
		bytesPerSecond = 6000
		memoryBytes    = 256 << 20
	)
	figures := measureIdle(t, size{30, 110, 12}, stageReports, 20*time.Second)
	t.Log(figures)
	if got := figures["bytes_per_second"]; got > bytesPerSecond {
		t.Errorf("got control traffic of %.0f bytes/s per entry, want at most %d", got, bytesPerSecond)
	}
	if got := figures["memory_bytes"]; got > memoryBytes {
		t.Errorf("got memory use of %.0f bytes per entry, want at most %d", got, memoryBytes)
	}
}
