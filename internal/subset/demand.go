package subset

import (
	"time"

	"tamarindshore/balancer"
)

const (
	zoneShortThreshold = 0.7             // of a home zone's servers: with fewer in service the rest is wanted of other zones
	checkDuration      = 3 * time.Second // within which a new member counts as in service: its first health check is under way
	referenceLifetime  = time.Hour       // that the size of a zone is remembered after it shrank
)

// demand is what one tick found of the servers in other zones than home.
type demand struct {
	wanted        float64 // servers in service: the stated number, and those that home zones lack
	serving       float64 // in service, or so new that it is not known yet
	wantedWarm    float64 // like wanted, with servers of home zones that warm up counted by their progress
	warm          float64 // in service, counted by their progress
	spill         float64 // the stated number
	available     float64 // listed
	noneInService bool    // no server at all is
}

// isShort tells whether too few servers are in service.
func (d demand) isShort() bool {
	return d.noneInService || d.serving < widenThreshold*min(d.wanted, d.available)
}

// zoneService counts the members of one zone.
type zoneService struct {
	serving float64 // in service, or so new that it is not known yet
	warm    float64 // in service, counted by the progress of their slow start
}

// demand holds the members in service against what the zones should have.
func (s *Subset) demand(now time.Duration, fleet Fleet) demand {
	ready, _ := fleet.ReadyServers()
	noneInService := ready == 0 && s.hasCheckedMember(now)
	spill := float64(s.settings.Spill)
	found := demand{
		wanted:        spill,
		wantedWarm:    spill,
		spill:         spill,
		available:     float64(s.foreignServers()),
		noneInService: noneInService,
	}
	byZone := s.service(now, fleet, noneInService)
	for id, zone := range s.zones {
		service := byZone[id]
		if !zone.isHome {
			found.serving += service.serving
			found.warm += service.warm
			continue
		}
		reference := s.reference(now, zone)
		found.wanted += missing(service.serving, reference)
		found.wantedWarm += missing(service.warm, reference)
	}
	return found
}

// missing is what a home zone lacks, where it is short.
func missing(has, reference float64) float64 {
	if has >= zoneShortThreshold*reference {
		return 0
	}
	return reference - has
}

// hasCheckedMember tells whether some member is old enough to be in service. Guards against widening at the start, when
// all members are being checked.
func (s *Subset) hasCheckedMember(now time.Duration) bool {
	for _, r := range s.published {
		if r.phase == phaseMember && now-r.phaseSince >= checkDuration {
			return true
		}
	}
	return false
}

// service counts members in service by zone. While none at all is, the balancer calls all of them available, and new
// ones do not count either.
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

// reference is how many servers a home zone should have: the most that were listed lately, or, where none was, as many
// as a zone has on average.
func (s *Subset) reference(now time.Duration, zone *zoneState) float64 {
	if zone.listedServers >= zone.referenceSize || now-zone.referenceAt > referenceLifetime {
		zone.referenceSize = zone.listedServers
		zone.referenceAt = now
	}
	if zone.referenceSize > 0 {
		return float64(zone.referenceSize)
	}
	return float64(s.listedServers()) / float64(max(1, len(s.zones)))
}
