package token

// place adds a target to the zone, service and slow-start sets, or removes it from them, according
// to whether it is shadowed or superseded.
func (x *index) place(target *Target) {
	if belongs := !target.isShadowed && !target.IsSuperseded; belongs == target.isPlaced {
		return
	} else if !belongs {
		x.displace(target)
		return
	}
	target.isPlaced = true
	x.placeInZone(target)
	if target.MayOpen {
		x.mayOpen++
	}
	service := x.services[target.Service]
	if service == nil || target.Refused {
		return
	}
	service.add(target)
	if target.ColdRate > 0 {
		x.cold[target] = struct{}{}
	}
}

func (x *index) placeInZone(target *Target) {
	held := x.zones[target.Zone]
	if held == nil {
		held = &zone{services: map[string]int{}}
		x.zones[target.Zone] = held
	}
	target.zonePlace = len(held.targets)
	held.targets = append(held.targets, target)
	held.services[target.Service]++
}

// displace removes a target from the zone, service and slow-start sets.
func (x *index) displace(target *Target) {
	if !target.isPlaced {
		return
	}
	target.isPlaced = false
	x.displaceInZone(target)
	if target.MayOpen {
		x.mayOpen--
	}
	if service := x.services[target.Service]; service != nil && !target.Refused {
		service.remove(target)
	}
	delete(x.cold, target)
}

func (x *index) displaceInZone(target *Target) {
	held := x.zones[target.Zone]
	last := len(held.targets) - 1
	held.targets[last].zonePlace = target.zonePlace
	held.targets[target.zonePlace] = held.targets[last]
	held.targets[last] = nil
	held.targets = held.targets[:last]
	if held.services[target.Service]--; held.services[target.Service] == 0 {
		delete(held.services, target.Service)
	}
	if last == 0 {
		delete(x.zones, target.Zone)
	}
}
