"""What operators ask control instances, and what they answer."""
