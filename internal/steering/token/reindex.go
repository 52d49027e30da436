package token

// reindex adds a target to the zone, service and slow-start sets, or removes it from them,
// according to whether it is shadowed or superseded.
func (x *index) reindex(target *Target) {
	if belongs := !target.isShadowed && !target.IsSuperseded; belongs == target.isIndexed {
		return
	} else if !belongs {
		x.unindex(target)
		return
	}
	target.isIndexed = true
	x.addToZone(target)
	if target.IsEligible {
		x.eligibleCount++
	}
	service := x.services[target.Service]
	if service == nil || target.IsInvalid {
		return
	}
	service.add(target)
	if target.SlowStartRate > 0 {
		x.slowStarting[target] = struct{}{}
	}
}

func (x *index) addToZone(target *Target) {
	z := x.zones[target.Zone]
	if z == nil {
		z = &zone{services: map[string]int{}}
		x.zones[target.Zone] = z
	}
	target.zoneIndex = len(z.targets)
	z.targets = append(z.targets, target)
	z.services[target.Service]++
}

// unindex removes a target from the zone, service and slow-start sets.
func (x *index) unindex(target *Target) {
	if !target.isIndexed {
		return
	}
	target.isIndexed = false
	x.removeFromZone(target)
	if target.IsEligible {
		x.eligibleCount--
	}
	if service := x.services[target.Service]; service != nil && !target.IsInvalid {
		service.remove(target)
	}
	delete(x.slowStarting, target)
}

func (x *index) removeFromZone(target *Target) {
	z := x.zones[target.Zone]
	last := len(z.targets) - 1
	z.targets[last].zoneIndex = target.zoneIndex
	z.targets[target.zoneIndex] = z.targets[last]
	z.targets[last] = nil
	z.targets = z.targets[:last]
	if z.services[target.Service]--; z.services[target.Service] == 0 {
		delete(z.services, target.Service)
	}
	if last == 0 {
		delete(x.zones, target.Zone)
	}
}
