package routes

// HasCustomers reports whether requests belong to customers.
func (t *Table) HasCustomers() bool { return len(t.config.Customers) > 0 }
