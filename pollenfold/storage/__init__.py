"""The files in the data folder: durable journals and snapshots."""
