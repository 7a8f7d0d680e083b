package versions

// StoredListIsLater tells whether a manager that starts begins with the server list that its store kept: where that has
// servers and a later generation than the list told at the start. A discovery that began anew meanwhile has a lower
// generation; its list then replaces the stored one as it would that of a running manager.
func StoredListIsNewer(told, stored int64, storedServers int) bool {
	return storedServers > 0 && stored > told
}
