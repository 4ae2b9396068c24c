package clusterstate

import (
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// State holds the tables of one entry; its zero value is ready to use.
type State struct {
	// Endpoints holds the endpoints of the instance list.
	Endpoints Table[fleet.EndpointID, fleet.Endpoint]
	// ListedEntries holds the entries of the instance list, which lags behind the live entries.
	ListedEntries Table[fleet.EntryID, fleet.Entry]
	// ZoneEntries holds the live entries of this entry's availability zone, including this entry.
	ZoneEntries Table[fleet.EntryID, fleet.Entry]
	// Entries holds the live entries of all availability zones, including this entry.
	Entries Table[fleet.EntryID, fleet.Entry]
	// Configuration holds the current configuration under its single key.
	Configuration Table[SingleKey, config.Configuration]
	// Zones holds the zone states set by operators.
	Zones Table[fleet.Zone, config.ZoneState]
	// Loads holds the last reported loads of endpoints.
	Loads Table[fleet.EndpointID, fleet.Load]
	// Reports holds the last reports of the endpoints' owners.
	Reports Table[fleet.EndpointID, placement.Report]
}

// SingleKey is the key of a table with one row.
type SingleKey struct{}
