"""Measurements that stay out of CI."""
