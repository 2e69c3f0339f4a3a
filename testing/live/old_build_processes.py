async def check_control(old, new, say): pass
async def check_vms(old, new, say): pass
