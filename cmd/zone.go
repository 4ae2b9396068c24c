package cmd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/platform"
)

// newZoneCommand returns the parent of the commands that list, drain and restore availability zones.
func newZoneCommand() *cobra.Command {
	zone := &cobra.Command{
		Use:   "zone",
		Short: "Take availability zones out of service and bring them back",
	}
	zone.AddCommand(newZoneListCommand())
	zone.AddCommand(newZoneChangeCommand("drain", "Take a zone out of service", true))
	zone.AddCommand(newZoneChangeCommand("restore", "Bring a zone back into service", false))
	return zone
}

// newZoneListCommand returns the command that lists the zones.
func newZoneListCommand() *cobra.Command {
	var flags operatorFlags
	command := &cobra.Command{
		Use:     "list --platform ADDRESS",
		Short:   "List the zones with their states and last changes",
		Example: "  wisteriadyke zone list --platform 127.0.0.1:7000 --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), flags.timeout)
			defer cancel()
			zones, err := flags.readZones(ctx)
			if err != nil {
				return err
			}
			return flags.printZones(c.OutOrStdout(), zones)
		},
	}
	flags.addReadFlags(command)
	return command
}

// newZoneChangeCommand returns the command that drains or restores a zone.
func newZoneChangeCommand(name, short string, drained bool) *cobra.Command {
	var flags operatorFlags
	command := &cobra.Command{
		Use:   name + " ZONE --platform ADDRESS",
		Short: short,
		Long: short + ". The change is a new revision of the zone's record and reaches every entry within 5 s.\n" +
			"If another operator changes the zone at the same time, one of the two is refused and names the other.\n\n" +
			"Exit codes: 1 failed and nothing changed, 2 bad input, 3 another change came first, 4 outcome not known.",
		Example: "  wisteriadyke zone " + name + " a --platform 127.0.0.1:7000",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), flags.timeout)
			defer cancel()
			return flags.changeZone(ctx, c.OutOrStdout(), fleet.Zone(args[0]), drained)
		},
	}
	flags.addChangeFlags(command, "leaves no zone in service or names a zone without instances")
	return command
}

// zoneRow is the stored record of a zone and the number of instances in it.
type zoneRow struct {
	platform.Zone
	instances int
}

// readZones returns all zones that have a record or an instance on the platform.
func (f *operatorFlags) readZones(ctx context.Context) (map[fleet.Zone]zoneRow, error) {
	client := f.client()
	updater := &platform.RecordUpdater{Tables: client}
	records, err := updater.ReadZones(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the zones")
	}
	instances, err := client.Instances(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read the instance list")
	}
	zones := make(map[fleet.Zone]zoneRow)
	for _, record := range records {
		zones[record.State.Zone] = zoneRow{Zone: record}
	}
	for _, instance := range instances {
		row := zones[instance.Zone]
		row.State.Zone = instance.Zone
		row.instances++
		zones[instance.Zone] = row
	}
	return zones, nil
}

// changeZone drains or restores one zone and prints the outcome. It retries if another zone was changed concurrently,
// until ctx ends.
func (f *operatorFlags) changeZone(ctx context.Context, w io.Writer, zone fleet.Zone, drained bool) error {
	for {
		outcome, revision, err := f.tryChangeZone(ctx, zone, drained)
		if err == nil {
			return f.printChange(w, outcome, revision, zone, drained)
		}
		var race *platform.ConcurrentChangeError
		otherZone := errors.As(err, &race) && len(race.Other.From) > 0 && race.Other.From[0] != platform.ZoneSource(zone)
		if !otherZone || ctx.Err() != nil {
			return err
		}
	}
}

// tryChangeZone drains or restores one zone. It returns a ConcurrentChangeError if any zone is changed concurrently.
func (f *operatorFlags) tryChangeZone(
	ctx context.Context, zone fleet.Zone, drained bool,
) (outcome string, revision uint64, err error) {
	updater := &platform.RecordUpdater{Tables: f.client()}
	changesRecord, err := updater.ReadZoneChanges(ctx)
	if err != nil {
		return "", 0, errors.Wrap(err, "read the zones")
	}
	zones, err := f.readZones(ctx)
	if err != nil {
		return "", 0, err
	}
	if err := f.checkZoneConfirmed(zones, zone, drained); err != nil {
		return "", 0, err
	}
	old, err := updater.ReadZone(ctx, zone)
	if err != nil {
		return "", 0, errors.Wrapf(err, "zone %s", zone)
	}
	if old.State.Drained == drained {
		return outcomeUnchanged, old.State.Revision, nil
	}
	change, err := updater.SetZone(ctx, changesRecord, old, drained, f.newChange())
	return outcomeAccepted, change.Revision, errors.Wrapf(err, "zone %s", zone)
}

// checkZoneConfirmed returns an error if the change needs to be confirmed by --yes: the zone is unknown, or it would be
// drained although no other zone is in service.
func (f *operatorFlags) checkZoneConfirmed(zones map[fleet.Zone]zoneRow, zone fleet.Zone, drained bool) error {
	if f.yes {
		return nil
	}
	if _, known := zones[zone]; !known {
		return inputErrorf("zone %s: has no instances; the known zones are %s; confirm with --yes", zone, joinZones(zones))
	}
	remaining := zonesInService(zones)
	delete(remaining, zone)
	if drained && len(remaining) == 0 && !zones[zone].State.Drained {
		return inputErrorf("zone %s: is the last zone in service; nothing was changed; confirm with --yes", zone)
	}
	return nil
}

// zonesInService returns the zones that have instances and are not drained.
func zonesInService(zones map[fleet.Zone]zoneRow) map[fleet.Zone]zoneRow {
	found := make(map[fleet.Zone]zoneRow)
	for zone, row := range zones {
		if !row.State.Drained && row.instances > 0 {
			found[zone] = row
		}
	}
	return found
}

// joinZones returns the names of the zones, sorted and separated by commas.
func joinZones(zones map[fleet.Zone]zoneRow) string {
	var names []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		names = append(names, string(zone))
	}
	return strings.Join(names, ", ")
}

// zoneChangeResult is the JSON output of a zone change.
type zoneChangeResult struct {
	Outcome  string     `json:"outcome"`
	Zone     fleet.Zone `json:"zone"`
	State    string     `json:"state"`
	Revision uint64     `json:"revision"`
}

// printChange prints the outcome of a zone change.
func (f *operatorFlags) printChange(w io.Writer, outcome string, revision uint64, zone fleet.Zone, drained bool) error {
	result := zoneChangeResult{Outcome: outcome, Zone: zone, State: stateName(drained), Revision: revision}
	if f.output == outputJSON {
		return printJSON(w, result)
	}
	_, err := fmt.Fprintf(w, "%s: zone %s is %s at revision %d\n", outcome, zone, result.State, revision)
	return errors.Wrap(err, "print")
}

// stateName returns the printed name of a zone's state.
func stateName(drained bool) string {
	if drained {
		return "drained"
	}
	return "in service"
}

// zoneListRow is one zone in the JSON output of zone list.
type zoneListRow struct {
	Zone      fleet.Zone `json:"zone"`
	State     string     `json:"state"`
	Revision  uint64     `json:"revision"`
	Instances int        `json:"instances"`
	By        string     `json:"by,omitempty"`
	ChangedAt time.Time  `json:"changed_at,omitzero"`
}

// printZones prints the zones in order of name, as a table or as JSON.
func (f *operatorFlags) printZones(w io.Writer, zones map[fleet.Zone]zoneRow) error {
	list := []zoneListRow{}
	var cells [][]string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		row := newZoneListRow(zone, zones[zone])
		list = append(list, row)
		cells = append(cells, row.cells())
	}
	if f.output == outputJSON {
		return printJSON(w, list)
	}
	return printTable(w, []string{"ZONE", "STATE", "REVISION", "INSTANCES", "BY", "CHANGED AT"}, cells)
}

// newZoneListRow returns the printed form of one zone.
func newZoneListRow(zone fleet.Zone, row zoneRow) zoneListRow {
	latest := row.Record.Latest()
	return zoneListRow{
		Zone:      zone,
		State:     stateName(row.State.Drained),
		Revision:  latest.Revision,
		Instances: row.instances,
		By:        latest.By,
		ChangedAt: latest.At,
	}
}

// cells returns the cells of the zone's table row.
func (r zoneListRow) cells() []string {
	changed := "-"
	if r.Revision > 0 {
		changed = r.ChangedAt.Format(time.RFC3339)
	}
	by := r.By
	if by == "" {
		by = "-"
	}
	return []string{
		string(r.Zone), r.State, strconv.FormatUint(r.Revision, 10), strconv.Itoa(r.Instances), by, changed,
	}
}
