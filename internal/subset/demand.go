package subset

import (
	"time"

	"tamarindshore/balancer"
)

const (
	zoneShortThreshold = 0.7             // if a smaller fraction of a home zone is in service, other zones replace its missing servers
	checkDuration      = 3 * time.Second // how long a new member counts as in service while its first health check is pending
	peakLifetime       = time.Hour       // how long the peak size of a zone is remembered after the zone shrank
)

// demand compares the servers in service outside the home zones with the number needed, as of one tick.
type demand struct {
	needed        float64 // number needed: the configured spill plus the shortfall of the home zones
	serving       float64 // servers in service, and new members whose first health check is pending
	neededWarm    float64 // like needed, but home servers in slow start count by their progress
	warm          float64 // servers in service, each counted by the progress of its slow start
	spill         float64 // configured number of spill servers
	available     float64 // listed servers outside the home zones
	noneInService bool    // no server of any zone is in service
}

// isShort reports whether too few servers are in service.
func (d demand) isShort() bool {
	return d.noneInService || d.serving < widenThreshold*min(d.needed, d.available)
}

// zoneService counts the members of one zone.
type zoneService struct {
	serving float64 // servers in service, and new members whose first health check is pending
	warm    float64 // servers in service, each counted by the progress of its slow start
}

// demand compares the members in service with the number that the zones should have.
func (s *Subset) demand(now time.Duration, fleet Fleet) demand {
	ready, _ := fleet.ReadyServers()
	noneInService := ready == 0 && s.hasCheckedMember(now)
	spill := float64(s.settings.Spill)
	d := demand{
		needed:        spill,
		neededWarm:    spill,
		spill:         spill,
		available:     float64(s.foreignServers()),
		noneInService: noneInService,
	}
	byZone := s.service(now, fleet, noneInService)
	for id, zone := range s.zones {
		service := byZone[id]
		if !zone.isHome {
			d.serving += service.serving
			d.warm += service.warm
			continue
		}
		expected := s.expectedServers(now, zone)
		d.needed += shortfall(service.serving, expected)
		d.neededWarm += shortfall(service.warm, expected)
	}
	return d
}

// shortfall returns how many servers a home zone lacks, or 0 if enough of the expected servers are in service.
func shortfall(inService, expected float64) float64 {
	if inService >= zoneShortThreshold*expected {
		return 0
	}
	return expected - inService
}

// hasCheckedMember reports whether some member is old enough to have passed its first health check. Without this
// condition the subset would widen at the start, when all members are still being checked.
func (s *Subset) hasCheckedMember(now time.Duration) bool {
	for _, r := range s.published {
		if r.phase == phaseMember && now-r.phaseSince >= checkDuration {
			return true
		}
	}
	return false
}

// service counts the members in service by zone. It counts none while no server at all is in service: the balancer then
// reports every member as available, and new members must not count either.
func (s *Subset) service(now time.Duration, fleet Fleet, noneInService bool) map[balancer.ZoneID]zoneService {
	byZone := map[balancer.ZoneID]zoneService{}
	if noneInService {
		return byZone
	}
	for id, r := range s.published {
		if r.phase != phaseMember {
			continue
		}
		service := byZone[r.server.Zone]
		_, available, warmFraction := fleet.ServerStatus(id)
		if available {
			service.serving++
			service.warm += warmFraction
		} else if r.server.State == balancer.Ready && now-r.phaseSince < checkDuration {
			service.serving++
		}
		byZone[r.server.Zone] = service
	}
	return byZone
}

// expectedServers returns how many servers a home zone should have: its peak number of listed servers within
// peakLifetime, or the average over all zones if the zone had none.
func (s *Subset) expectedServers(now time.Duration, zone *zoneState) float64 {
	if zone.listedServers >= zone.peakServers || now-zone.peakAt > peakLifetime {
		zone.peakServers = zone.listedServers
		zone.peakAt = now
	}
	if zone.peakServers > 0 {
		return float64(zone.peakServers)
	}
	return float64(s.listedServers()) / float64(max(1, len(s.zones)))
}
