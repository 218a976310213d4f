package access

import (
	"fmt"

	"dotterelmount.example/lib/routes"
)

// Customer is a customer of a configuration.
type Customer struct {
	Name string
	// Priority takes precedence over that of the route; nil: the customer has none.
	Priority *int
	keys     []Key
}

// Index finds the customers of a configuration by their keys. It is immutable, so that
// requests look up their keys without a lock. A nil Index has no customers.
type Index struct {
	byKey  map[string]*Customer
	byName map[string]*Customer
	// required is set if callers need keys, even if no entry is valid.
	required bool
	ignored  []string
}

// String returns the customer's name: printed in any form, a customer discloses no key.
func (c *Customer) String() string { return c.Name }

// String returns the number of customers.
func (x *Index) String() string { return fmt.Sprintf("%d customers", len(x.byName)) }

// NewIndex returns an index of a configuration's customers. Invalid entries are ignored: a
// customer without a name, an empty key, and a key that another customer has further up. All
// daemons decide so alike, as it depends on nothing but the configuration.
func NewIndex(customers []routes.Customer) *Index {
	n := 0
	for i := range customers {
		n += len(customers[i].Keys)
	}
	x := &Index{byKey: make(map[string]*Customer, n), byName: make(map[string]*Customer, len(customers)), required: len(customers) > 0}
	for i := range customers {
		x.add(i, &customers[i])
	}
	return x
}

// add adds the entry at a position of the configuration.
func (x *Index) add(position int, entry *routes.Customer) {
	if entry.Name == "" {
		x.ignored = append(x.ignored, fmt.Sprintf("customer %d without a name", position))
		return
	}
	c, ok := x.byName[entry.Name]
	if !ok {
		c = &Customer{Name: entry.Name, Priority: entry.Priority, keys: make([]Key, 0, len(entry.Keys))}
		x.byName[entry.Name] = c
	}
	for _, text := range entry.Keys {
		holder, taken := x.byKey[text]
		switch {
		case text == "":
			x.ignored = append(x.ignored, "empty key of "+entry.Name)
		case taken && holder != c:
			x.ignored = append(x.ignored, fmt.Sprintf("key %v of %s, which %s has too", NewKey(text), entry.Name, holder.Name))
		case !taken:
			x.byKey[text] = c
			c.keys = append(c.keys, NewKey(text))
		}
	}
}

// Required reports whether callers need keys.
func (x *Index) Required() bool { return x != nil && x.required }

// Ignored describes the invalid entries of the configuration, without keys in clear.
func (x *Index) Ignored() []string {
	if x == nil {
		return nil
	}
	return x.ignored
}

// lookup returns the customer that has a key, or nil.
func (x *Index) lookup(k Key) *Customer {
	if x == nil || k.IsZero() {
		return nil
	}
	return x.byKey[k.text]
}

// Priority returns the priority of a customer's request on a route with a priority.
func (x *Index) Priority(customer string, ofRoute int) int {
	if x == nil {
		return ofRoute
	}
	if c := x.byName[customer]; c != nil && c.Priority != nil {
		return *c.Priority
	}
	return ofRoute
}

// Has reports whether there is a customer with a name.
func (x *Index) Has(customer string) bool { return x != nil && x.byName[customer] != nil }
