"""The measurements, each a module with one `Measurement`."""
