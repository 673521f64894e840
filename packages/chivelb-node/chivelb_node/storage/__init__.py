"""Files under the data folder, synced before they are relied on."""
