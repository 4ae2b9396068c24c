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
	// ListedEntries holds the entries of the instance list, which lags.
	ListedEntries Table[fleet.EntryID, fleet.Entry]
	// ZoneEntries holds the live entries of this entry's availability zone, this one included.
	ZoneEntries Table[fleet.EntryID, fleet.Entry]
	// Entries holds the live entries of all availability zones, this one included.
	Entries Table[fleet.EntryID, fleet.Entry]
	// Configuration holds the configuration in force under the only key.
	Configuration Table[SingleKey, config.Configuration]
	// Zones holds the operators' decisions on availability zones.
	Zones Table[fleet.Zone, config.ZoneState]
	// Loads holds the last reported load of endpoints.
	Loads Table[fleet.EndpointID, fleet.Load]
	// Reports holds what the owners of endpoints last told of them.
	Reports Table[fleet.EndpointID, placement.Report]
}

// SingleKey is the key of a table with one row.
type SingleKey struct{}
