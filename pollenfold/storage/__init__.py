"""Files of the data folder: durable journals and snapshots."""
