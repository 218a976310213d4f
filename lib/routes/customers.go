package routes

// HasCustomers reports whether requests belong to customers.
func (t *Table) HasCustomers() bool { return len(t.config.Customers) > 0 }

// HasAutoscale reports whether the number of upstreams of a service is to be decided.
func (t *Table) HasAutoscale() bool {
	for i := range t.config.Services {
		if t.config.Services[i].Autoscale != nil {
			return true
		}
	}
	return false
}
