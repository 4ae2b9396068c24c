// Command plot draws the measured figures of docs/capacity as SVG files.
package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// width is the width of a plot.
	width = 16 * vg.Centimeter
	// height is the height of a plot.
	height = 10 * vg.Centimeter
)

// row is one measured value from the CSV file, without the numbers of endpoints and zones.
type row struct {
	entries float64
	stage   string
	figure  string
	value   float64
}

// chart describes one plot: its file, its texts and the figure that it shows, with one line for each stage.
type chart struct {
	file   string
	title  string
	unit   string
	figure string
	stages []string
	// budget is drawn as a horizontal line, unless it is 0; it is in the unit of the figure.
	budget float64
}

// charts holds all plots.
var charts = []chart{
	{
		file: "bytes.svg", title: "Control traffic sent by one entry at rest", unit: "bytes/s",
		figure: "bytes_per_second", stages: []string{"membership", "spread", "reports"}, budget: 6000,
	},
	{
		file: "messages.svg", title: "Control messages sent by one entry at rest", unit: "messages/s",
		figure: "messages_per_second", stages: []string{"membership", "spread", "reports"},
	},
	{
		file: "processor.svg", title: "Processor time of one entry at rest", unit: "percent of a core",
		figure: "processor_percent", stages: []string{"membership", "spread", "reports"}, budget: 2.1,
	},
	{
		file: "memory.svg", title: "Heap and stacks of one entry", unit: "bytes",
		figure: "memory_bytes", stages: []string{"membership", "spread", "reports"},
	},
	{
		file: "platform.svg", title: "Reads of the instance list by all entries", unit: "reads/s",
		figure: "platform_lists", stages: []string{"membership", "spread"},
	},
}

// main reads the figures from data.csv in the directory given as argument and writes the plots to that directory.
func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: plot DIRECTORY")
		os.Exit(2)
	}
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "plot:", err)
		os.Exit(1)
	}
}

// run reads the figures from data.csv in a directory and draws all plots there.
func run(directory string) error {
	rows, err := readRows(filepath.Join(directory, "data.csv"))
	if err != nil {
		return err
	}
	for _, c := range charts {
		if err := c.draw(rows, filepath.Join(directory, c.file)); err != nil {
			return errors.Wrap(err, c.file)
		}
	}
	return nil
}

// readRows reads the figures from a CSV file.
func readRows(path string) ([]row, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	records, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	var rows []row
	for _, record := range records[1:] {
		entries, err := strconv.ParseFloat(record[0], 64)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		value, err := strconv.ParseFloat(record[5], 64)
		if err != nil {
			return nil, errors.Wrap(err, path)
		}
		rows = append(rows, row{entries: entries, stage: record[3], figure: record[4], value: value})
	}
	return rows, nil
}

// draw draws one plot from the rows and writes it to path.
func (c chart) draw(rows []row, path string) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "entries"
	p.Y.Label.Text = c.unit
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.ConstantTicks(ticks())
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for _, stage := range c.stages {
		lines = append(lines, "with "+stage, c.points(rows, stage))
	}
	if c.budget > 0 {
		lines = append(lines, "budget", plotter.XYs{{X: 3, Y: c.budget}, {X: 350, Y: c.budget}})
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, path)
}

// points returns the values of the chart's figure at one stage, with the number of entries as X.
func (c chart) points(rows []row, stage string) plotter.XYs {
	var points plotter.XYs
	for _, r := range rows {
		if r.stage == stage && r.figure == c.figure {
			points = append(points, plotter.XY{X: r.entries, Y: r.value})
		}
	}
	return points
}

// ticks returns the tick marks of the X axis, the numbers of entries.
func ticks() []plot.Tick {
	var ticks []plot.Tick
	for _, entries := range []float64{3, 9, 30, 100, 350} {
		ticks = append(ticks, plot.Tick{Value: entries, Label: strconv.Itoa(int(entries))})
	}
	return ticks
}
