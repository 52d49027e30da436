package storeview

// maxInternedNames bounds the interned names, since invalid entries may carry arbitrary ones.
const maxInternedNames = 4096

// interner interns the names of services and zones, of which each decoded entry would otherwise
// hold its own copy, 32 bytes for each of 10,000 targets.
type interner map[string]string

// intern returns the interned copy of a name.
func (n interner) intern(name string) string {
	interned, found := n[name]
	if !found {
		if len(n) >= maxInternedNames {
			return name
		}
		n[name] = name
		return name
	}
	return interned
}
