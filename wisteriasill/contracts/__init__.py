"""What services, pools and jobs are promised, and how promises are kept."""
