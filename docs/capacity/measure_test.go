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

// output is the file that takes the figures; without it nothing is measured.
var output = flag.String("capacity.out", "", "write the measured figures to this CSV `file`")

// sizes are the sizes that are measured.
var sizes = []size{{3, 16, 3}, {9, 25, 3}, {30, 110, 12}, {100, 370, 12}, {350, 1300, 12}}

const (
	// settleTime is the time before a measurement, in which the entries find each other and own the endpoints.
	settleTime = 25 * time.Second
	// restTime is the time over which a system at rest is measured.
	restTime = 20 * time.Second
	// pollingEntries is the number of entries up to which they are measured without spread, when all of them poll.
	pollingEntries = 100
	// convergenceLimit is the time in which a configuration has to be in force everywhere.
	convergenceLimit = 16 * time.Second
)

// stageNames are the names of the stages in the figures.
var stageNames = map[stage]string{
	stageMembership: "membership",
	stageSpread:     "spread",
	stageReports:    "reports",
}

// figure is one measured value.
type figure struct {
	size  size
	stage stage
	name  string
	value float64
}

// counters are what is counted since the start of a process.
type counters struct {
	bytes, messages, reads, lists int64
	processor                     time.Duration
}

// count reads the counters.
func (c *cluster) count() counters {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return counters{
		bytes:     c.network.bytes.Load(),
		messages:  c.network.messages.Load(),
		reads:     c.platform.reads.Load(),
		lists:     c.platform.lists.Load(),
		processor: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
	}
}

// rest measures a system at rest; all rates are for one entry and second, but for those of the platform.
func (c *cluster) rest(span time.Duration) map[string]float64 {
	before := c.count()
	time.Sleep(span)
	after := c.count()
	per := span.Seconds() * float64(len(c.nodes))
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return map[string]float64{
		"bytes_per_second":    float64(after.bytes-before.bytes) / per,
		"messages_per_second": float64(after.messages-before.messages) / per,
		"processor_percent":   100 * (after.processor - before.processor).Seconds() / per,
		"memory_bytes":        float64(memory.HeapAlloc+memory.StackInuse) / float64(len(c.nodes)),
		"platform_reads":      float64(after.reads-before.reads) / span.Seconds(),
		"platform_lists":      float64(after.lists-before.lists) / span.Seconds(),
	}
}

// ready tells whether every endpoint is owned once.
func (c *cluster) ready(endpoints int) bool {
	owned := 0
	for _, n := range c.nodes {
		owned += len(n.pool.Status())
	}
	return owned == endpoints
}

// measureRest runs a system at rest.
func measureRest(t *testing.T, s size, stage stage, span time.Duration) map[string]float64 {
	t.Helper()
	var figures map[string]float64
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(s, stage)
		c.run(t, func() {
			c.publish(t, 10)
			time.Sleep(settleTime)
			if !c.ready(s.endpoints) {
				t.Errorf("%d entries do not own each of %d endpoints once", s.entries, s.endpoints)
			}
			figures = c.rest(span)
		})
	})
	return figures
}

func TestMeasure(t *testing.T) {
	if *output == "" {
		t.Skip("measures only with -capacity.out; see docs/CAPACITY.md")
	}
	var figures []figure
	for _, s := range sizes {
		for stage := stageMembership; stage <= stageReports; stage++ {
			if stage == stageMembership && s.entries > pollingEntries {
				continue
			}
			for name, value := range measureRest(t, s, stage, restTime) {
				figures = append(figures, figure{size: s, stage: stage, name: name, value: value})
			}
		}
		figures = append(figures, measureChanges(t, s)...)
		if err := write(*output, figures); err != nil {
			t.Fatal(err)
		}
		t.Logf("%d entries measured", s.entries)
	}
}

// write writes the figures as CSV.
func write(path string, figures []figure) error {
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
	figures := measureRest(t, size{30, 110, 12}, stageReports, 20*time.Second)
	t.Log(figures)
	if got := figures["bytes_per_second"]; got > bytesPerSecond {
		t.Errorf("control takes %.0f bytes/s per entry, want at most %d", got, bytesPerSecond)
	}
	if got := figures["memory_bytes"]; got > memoryBytes {
		t.Errorf("control takes %.0f bytes of memory per entry, want at most %d", got, memoryBytes)
	}
}
